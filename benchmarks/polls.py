"""Measures the CPU time that a router uses for each poll of an engine.

Run `python -m benchmarks.polls`; it prints one JSON object. One router polls 1 to 8
stand-in engines once per second each, for MEASUREMENT_S at each number of engines. The
slope over polls per second excludes the cost of an idle router, which is the intercept.
"""

import json
import os
import time

import msgspec

from benchmarks.demo import apply_inventory, wait_until_ready
from benchmarks.slopes import fit_slope
from benchmarks.topology import LocalFleet

ENGINE_COUNTS = (1, 2, 4, 8)
MEASUREMENT_S = 8.0


def cpu_time_ms(pid):
    """Return the user and system CPU time of the process `pid` in ms."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks * 1000 / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid):
    """Return the resident memory of the process `pid` in bytes."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def cpu_ms_per_second(engine_count):
    """Return the CPU time in ms per second of a router that polls that many engines."""
    with LocalFleet(routers=1, engines=engine_count, services=False) as local_fleet:
        router = local_fleet.routers_by_id["vm-1"]
        apply_inventory(router, local_fleet.inventory())
        wait_until_ready([router])
        time.sleep(1.0)
        before = cpu_time_ms(router.popen.pid)
        time.sleep(MEASUREMENT_S)
        return (cpu_time_ms(router.popen.pid) - before) / MEASUREMENT_S


def main():
    """Measure the CPU time at each number of engines and print the fitted slope."""
    values = [cpu_ms_per_second(engine_count) for engine_count in ENGINE_COUNTS]
    slope = fit_slope("watcher.polls", "ms of CPU for a poll", ENGINE_COUNTS, values)
    print(json.dumps(msgspec.to_builtins(slope)))


if __name__ == "__main__":
    main()
