"""Cost of a router's polls of engines: CPU and bytes for each poll.

Run as `python -m benchmarks.polls`. One router watches 1 to 8 stand-in engines for a
few seconds each; the slope over polls a second leaves out what an idle router costs.
"""

import json
import os
import time

import msgspec

from benchmarks.demo import apply_inventory, wait_ready
from benchmarks.slopes import fit
from benchmarks.topology import Topology

ENGINES = (1, 2, 4, 8)
PERIOD = 8.0  # s


def cpu_time(pid):
    """Return the processor time of the process `pid` in ms."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks * 1000 / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid):
    """Return the resident memory of the process `pid`."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def cpu_per_second(engines):
    """Return the ms of CPU a second of a router that watches `engines` engines."""
    with Topology(routers=1, engines=engines, services=False) as topology:
        router = topology.routers_by_id["vm-1"]
        apply_inventory(router, topology.inventory())
        wait_ready([router])
        time.sleep(1.0)
        before = cpu_time(router.popen.pid)
        time.sleep(PERIOD)
        return (cpu_time(router.popen.pid) - before) / PERIOD


def main():
    """Measure and print the slope."""
    values = [cpu_per_second(engines) for engines in ENGINES]
    slope = fit("watcher.polls", "ms of CPU for a poll", ENGINES, values)
    print(json.dumps(msgspec.to_builtins(slope)))


if __name__ == "__main__":
    main()
