"""Measures allowances shared by several routers, each a process of its own.

Run `python -m benchmarks.limits`; it prints a table, or JSON lines. Each scenario
is checked against the bound over all windows by the times of the debits.
"""

import tempfile
from pathlib import Path

import defopt
import msgspec

from benchmarks.limits_node import Plan, Record
from benchmarks.processes import Fleet
from mulberryhub.base.clock import Clock
from mulberryhub.base.green import sleep

START_DELAY = 8_000  # ms from the start of the first node
AFTER_KILL = 10_000  # ms
WARM_UP = 3_000  # ms left out of the use of the rate
GRAIN = 1  # ms of the clock
RUN_LIMIT = 60_000  # ms after the end of a plan


class Scenario(msgspec.Struct):
    """How callers behave: tokens offered as a multiple of the rate, and where."""

    name: str
    load: float
    on_one: bool = False
    kill: bool = False
    used_share: float = 1.0


SCENARIOS = [
    Scenario("even", 0.8),
    Scenario("one VM", 0.8, on_one=True),
    Scenario("even, near", 0.95),
    Scenario("one VM, near", 0.95, on_one=True),
    Scenario("even, over", 3.0),
    Scenario("one VM, over", 3.0, on_one=True),
    Scenario("one VM, over, refunds", 3.0, on_one=True, used_share=0.2),
    Scenario("even, one killed", 0.7, kill=True),
    Scenario("one VM, holder killed", 0.7, on_one=True, kill=True),
    Scenario("even, over, one killed", 3.0, kill=True),
]


class Shape(msgspec.Struct):
    """Sizes of a run; rate in tokens/s, durations in ms."""

    nodes: int
    workspaces: int
    rate: float
    burst: float
    duration: int
    least_cost: int
    most_cost: int
    seed: int


class Result(msgspec.Struct):
    """Figures of one scenario; shares are parts of 1, rates per node and second."""

    scenario: str
    nodes: int
    requests: int
    excess: float
    wrongly_refused: float
    wrongly_refused_after_kill: float | None
    use: float
    waits_p95: float
    calls: float
    kilobytes: float
    processor_share: float


class IdealBucket:
    """One bucket for the whole fleet, full at first: what could have been."""

    def __init__(self, rate, burst, start):
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._time = start

    def admits(self, time, cost):
        """Debit `cost` at `time` and return True, or False where it lacks."""
        added = self._rate * (time - self._time)
        self._level = min(self._burst, self._level + added)
        self._time = time
        if self._level < cost:
            return False
        self._level -= cost
        return True


def run_scenario(scenario, shape):
    """Run one scenario and return its Result."""
    with Fleet() as fleet, tempfile.TemporaryDirectory() as directory:
        log = fleet.start("mulberryhub.standins.log")
        start = Clock().now() + START_DELAY
        plans = [
            make_plan(scenario, shape, index, start, log.address, directory)
            for index in range(shape.nodes)
        ]
        nodes = [
            fleet.start("benchmarks.limits_node", msgspec.json.encode(plan).decode())
            for plan in plans
        ]
        middle = start + shape.duration // 2
        if scenario.kill:
            sleep(max(0, middle - Clock().now()) / 1000)
            nodes.pop().kill()
            plans.pop()
        records = [read_record(plan) for plan in plans]
    return summarise(scenario, shape, records, start, middle)


def make_plan(scenario, shape, index, start, log_address, directory):
    """Return the plan of the node number `index`; the last one may be killed."""
    total = scenario.load * shape.rate * shape.workspaces
    offered = total / shape.nodes
    changed = total / (shape.nodes - 1) if scenario.kill else offered
    if scenario.on_one:
        offered = changed = total if index == 0 else 0
    if scenario.kill and index == shape.nodes - 1:
        # What a killed node admitted is unknown, so it admits nothing.
        offered = 0
    return Plan(
        vm=f"vm-{index}",
        log_address=log_address,
        output=str(Path(directory) / f"{index}.json"),
        workspaces=shape.workspaces,
        rate=shape.rate,
        burst=shape.burst,
        start=start,
        end=start + shape.duration,
        offered=offered,
        changed_at=start + shape.duration // 2,
        changed_offered=changed,
        least_cost=shape.least_cost,
        most_cost=shape.most_cost,
        used_share=scenario.used_share,
        seed=shape.seed * 1_000 + index,
    )


def read_record(plan):
    """Wait for the record of a node and return it."""
    clock = Clock()
    while not Path(plan.output).exists():
        if clock.now() > plan.end + RUN_LIMIT:
            raise TimeoutError(f"{plan.vm} wrote no record")
        sleep(0.1)
    return msgspec.json.decode(Path(plan.output).read_bytes(), type=Record)


def summarise(scenario, shape, records, start, middle):
    """Return the figures that follow from the records of all nodes."""
    arrivals_by_workspace = {}
    for record in records:
        for arrival in record.arrivals:
            arrivals_by_workspace.setdefault(arrival.workspace, []).append(arrival)
    groups = arrivals_by_workspace.values()
    wrong = [item for group in groups for item in wrongly_refused(group, shape, start)]
    arrivals = [item for group in groups for item in group]
    seconds = shape.duration / 1000
    late = [item for item in arrivals if is_after_kill(item, middle)]
    late_wrong = [item for item in wrong if is_after_kill(item, middle)]
    waits = sorted(item.admitted - item.arrived for item in arrivals if item.admitted)
    used = sum(record.processor_time for record in records)
    return Result(
        scenario=scenario.name,
        nodes=shape.nodes,
        requests=len(arrivals),
        excess=round(max(excess(group, shape) for group in groups), 1),
        wrongly_refused=round(len(wrong) / len(arrivals), 5),
        wrongly_refused_after_kill=(
            round(len(late_wrong) / len(late), 5) if scenario.kill and late else None
        ),
        use=round(use_of_rate(arrivals, shape, start), 4),
        waits_p95=waits[int(0.95 * len(waits))],
        calls=round(sum(r.calls_made for r in records) / len(records) / seconds, 2),
        kilobytes=round(
            sum(r.bytes_moved for r in records) / len(records) / seconds / 1000, 2
        ),
        processor_share=round(used / len(records) / seconds, 4),
    )


def is_after_kill(arrival, middle):
    """Tell whether a request came soon after the kill."""
    return middle <= arrival.arrived < middle + AFTER_KILL


def wrongly_refused(arrivals, shape, start):
    """Return the refused requests that one ideal bucket would have admitted."""
    bucket = IdealBucket(shape.rate / 1000, shape.burst, start)
    wrong = []
    for arrival in sorted(arrivals, key=lambda item: item.arrived):
        could = bucket.admits(arrival.arrived, arrival.cost)
        if could and arrival.admitted is None:
            wrong.append(arrival)
    return wrong


def excess(arrivals, shape):
    """Return by how many tokens the worst window exceeds its bound (0: none)."""
    rate, in_window, last, worst = shape.rate / 1000, 0.0, None, 0.0
    admitted = [item for item in arrivals if item.admitted is not None]
    for item in sorted(admitted, key=lambda item: item.admitted):
        if last is not None:
            in_window = max(0.0, in_window - rate * (item.admitted - last))
        last = item.admitted
        in_window += item.used
        worst = max(worst, in_window - shape.burst - rate * GRAIN)
    return worst


def use_of_rate(arrivals, shape, start):
    """Return the tokens used as a part of the rate, from after the warm-up on."""
    begin, end = start + WARM_UP, start + shape.duration
    tokens = sum(
        item.used
        for item in arrivals
        if item.admitted is not None and begin <= item.admitted < end
    )
    return tokens / (shape.rate * shape.workspaces * (end - begin) / 1000)


def main(
    *,
    nodes: int = 6,
    workspaces: int = 1,
    rate: float = 6_000.0,
    burst: float = 12_000.0,
    seconds: int = 30,
    least_cost: int = 50,
    most_cost: int = 450,
    seed: int = 1,
    scenario: str = "",
    json: bool = False,
):
    """Run all scenarios, or the one named, and print their figures.

    :param nodes: routers
    :param workspaces: workspaces, each with the same rate and burst
    :param rate: tokens per second of each workspace
    :param burst: tokens
    :param seconds: length of each scenario
    :param least_cost: tokens of the smallest request
    :param most_cost: tokens of the largest request
    :param seed: seed of the arrivals
    :param scenario: name of the only scenario to run
    :param json: print JSON lines
    """
    shape = Shape(
        nodes,
        workspaces,
        rate,
        burst,
        seconds * 1000,
        least_cost,
        most_cost,
        seed,
    )
    if not json:
        print(" | ".join(Result.__struct_fields__))
    for item in SCENARIOS:
        if scenario in ("", item.name):
            result = run_scenario(item, shape)
            values = msgspec.structs.astuple(result)
            line = (
                msgspec.json.encode(result).decode()
                if json
                else " | ".join(map(str, values))
            )
            print(line, flush=True)


if __name__ == "__main__":
    defopt.run(main)
