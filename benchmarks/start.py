"""Measures the CPU time and memory that a router's imports take at startup.

Run `python -m benchmarks.start`. The time of a module excludes the modules that it
imports.
"""

import re
import subprocess
import sys

PROGRAM_MODULE = "mulberryhub.adapter.command"
PRINTED_MODULE_COUNT = 12
IMPORT_LINE = re.compile(r"import time:\s*(\d+) \|\s*\d+ \|\s*(\S+)")
MEASURE_SCRIPT = f"""
import time
started = time.process_time()
import {PROGRAM_MODULE}
print(time.process_time() - started)
with open("/proc/self/status") as status:
    print(next(line.split()[1] for line in status if line.startswith("RssAnon")))
"""


def measure_imports():
    """Return the CPU time in s and the anonymous memory in KiB of the imports."""
    output = subprocess.check_output([sys.executable, "-c", MEASURE_SCRIPT], text=True)
    cpu_seconds, memory_kib = output.split()
    return float(cpu_seconds), int(memory_kib)


def import_times_by_module():
    """Return the import time of each module in µs, without the modules it imports."""
    result = subprocess.run(
        [sys.executable, "-X", "importtime", "-c", f"import {PROGRAM_MODULE}"],
        stderr=subprocess.PIPE,
        text=True,
        check=True,
    )
    return {name: int(time) for time, name in IMPORT_LINE.findall(result.stderr)}


def main():
    """Print the total cost and the modules that are slowest to import."""
    cpu_seconds, memory_kib = measure_imports()
    print(
        f"start: {cpu_seconds * 1000:.0f} ms of CPU time, {memory_kib / 1024:.1f} MiB"
    )
    slowest = sorted(import_times_by_module().items(), key=lambda item: -item[1])
    for name, time in slowest[:PRINTED_MODULE_COUNT]:
        print(f"  {time / 1000:6.1f} ms  {name}")


if __name__ == "__main__":
    main()
