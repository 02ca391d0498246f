"""A request that crashes its workers, while other workers crash by themselves."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab import Lab, run_case  # noqa: E402
from poison import BOUNDS, WORKER_COUNT, Poison  # noqa: E402

POISON_COUNT = 10
CRASH_SHARE = 0.2  # of the service's workers at once; 0.3 is the largest on the pages
CRASH_DOWN_S = 1.0
CRASH_INTERVAL_S = 3.5


async def crash_workers(lab):
    """Crash a share of the workers again and again, until cancelled."""
    while True:
        up = [worker for worker in lab.workers if worker.is_up]
        chosen = random.sample(up, min(len(up), int(CRASH_SHARE * WORKER_COUNT)))
        lab.record.add("crash by themselves: " + ", ".join(item.id for item in chosen))
        for worker in chosen:
            worker.crash(CRASH_DOWN_S)
        await asyncio.sleep(CRASH_INTERVAL_S)


async def case(has_trouble):
    """Return whether BUDGET held."""
    lab = Lab(FOLDER, BOUNDS)
    poison = Poison(lab)
    try:
        await poison.start()
        if has_trouble:
            poison.run(crash_workers(lab))
            await asyncio.sleep(1)
        for _ in range(POISON_COUNT):
            await poison.send_once()
        return poison.judge()
    finally:
        lab.end()


if __name__ == "__main__":
    run_case(FOLDER, case)
