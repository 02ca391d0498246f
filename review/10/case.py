"""A request that crashes its workers, while all routers are killed now and then."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab import Lab, run_case  # noqa: E402
from poison import BOUNDS, Poison  # noqa: E402

POISON_COUNT = 10
KILLS_AFTER = (2, 4)  # times that the request came
DOWN_S = 0.3  # a short delay, after which a killed process starts again


async def kill_routers(lab):
    """Kill all routers at once, and start them again."""
    lab.record.add("SIGKILL of all routers")
    for router in lab.routers:
        router.send_signal(signal.SIGKILL)
    await asyncio.sleep(DOWN_S)
    for router in lab.routers:
        router.popen.wait()
        router.start()


async def case(has_trouble):
    """Return whether BUDGET held."""
    lab = Lab(FOLDER, BOUNDS)
    poison = Poison(lab)
    try:
        await poison.start()
        for number in range(1, POISON_COUNT + 1):
            if has_trouble and number - 1 in KILLS_AFTER:
                await kill_routers(lab)
                await asyncio.sleep(4)  # contactMs and more, until they are in touch
            await poison.send_once()
        return poison.judge()
    finally:
        lab.end()


if __name__ == "__main__":
    run_case(FOLDER, case)
