"""Cost of a router's start: processor time and memory of its imports, by module.

Run as `python -m benchmarks.start`. Times of modules are without those that they
import.
"""

import re
import subprocess
import sys

PROGRAM = "mulberryhub.adapter.command"
SHOWN = 12  # modules
IMPORT_LINE = re.compile(r"import time:\s*(\d+) \|\s*\d+ \|\s*(\S+)")
MEASURE = f"""
import time
began = time.process_time()
import {PROGRAM}
print(time.process_time() - began)
with open("/proc/self/status") as status:
    print(next(line.split()[1] for line in status if line.startswith("RssAnon")))
"""


def measure():
    """Return the s of processor time and the KiB of memory of the imports."""
    output = subprocess.check_output([sys.executable, "-c", MEASURE], text=True)
    seconds, memory = output.split()
    return float(seconds), int(memory)


def times_by_module():
    """Return the µs that each imported module takes itself."""
    result = subprocess.run(
        [sys.executable, "-X", "importtime", "-c", f"import {PROGRAM}"],
        stderr=subprocess.PIPE,
        text=True,
        check=True,
    )
    return {name: int(time) for time, name in IMPORT_LINE.findall(result.stderr)}


def main():
    """Print the whole cost and the dearest modules."""
    seconds, memory = measure()
    print(f"start: {seconds * 1000:.0f} ms of processor time, {memory / 1024:.1f} MiB")
    dearest = sorted(times_by_module().items(), key=lambda item: -item[1])
    for name, time in dearest[:SHOWN]:
        print(f"  {time / 1000:6.1f} ms  {name}")


if __name__ == "__main__":
    main()
