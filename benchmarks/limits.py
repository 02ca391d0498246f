"""Measures how several router processes enforce shared rate limits.

Run `python -m benchmarks.limits`; it prints a table, or JSON lines. In each scenario
the times of the debits are checked against the limit over every time window.
"""

import tempfile
from pathlib import Path

import defopt
import msgspec

from benchmarks.limits_node import Plan, Record
from benchmarks.processes import ProcessGroup
from mulberryhub.base.clock import Clock
from mulberryhub.base.green import sleep

START_DELAY_MS = 8_000  # from the launch of the first node to the first request
AFTER_KILL_MS = 10_000
WARM_UP_MS = 3_000  # excluded from the utilisation of the rate
CLOCK_RESOLUTION_MS = 1
RECORD_TIMEOUT_MS = 60_000  # after the end of a plan


class Scenario(msgspec.Struct):
    """How clients behave in one run.

    `load_factor` is the offered load as a multiple of the rate. With `single_node`
    all requests go to the first node. With `kills_node` the last node is killed
    halfway. Requests use at least `used_share` of their reserved tokens and refund
    the rest.
    """

    name: str
    load_factor: float
    single_node: bool = False
    kills_node: bool = False
    used_share: float = 1.0


SCENARIOS = [
    Scenario("even", 0.8),
    Scenario("one VM", 0.8, single_node=True),
    Scenario("even, near", 0.95),
    Scenario("one VM, near", 0.95, single_node=True),
    Scenario("even, over", 3.0),
    Scenario("one VM, over", 3.0, single_node=True),
    Scenario("one VM, over, refunds", 3.0, single_node=True, used_share=0.2),
    Scenario("even, one killed", 0.7, kills_node=True),
    Scenario("one VM, holder killed", 0.7, single_node=True, kills_node=True),
    Scenario("even, over, one killed", 3.0, kills_node=True),
]


class RunParameters(msgspec.Struct):
    """Sizes of a run: rate in tokens/s, burst and costs in tokens, duration in ms."""

    nodes: int
    workspaces: int
    rate: float
    burst: float
    duration: int
    least_cost: int
    most_cost: int
    seed: int


class Result(msgspec.Struct):
    """Measurements of one scenario.

    Shares lie between 0 and 1. `excess` is in tokens and `waits_p95` in ms; `calls`
    and `kilobytes` are per node and second. The field names are the column titles.
    """

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
    """A single token bucket for the whole fleet, as a reference; it starts full.

    The rate is in tokens/ms, the burst in tokens and times in ms.
    """

    def __init__(self, rate, burst, start):
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._time = start

    def debit(self, time, cost):
        """Debit `cost` and return True, or return False if the level is too low."""
        refill = self._rate * (time - self._time)
        self._level = min(self._burst, self._level + refill)
        self._time = time
        if self._level < cost:
            return False
        self._level -= cost
        return True


def run_scenario(scenario, parameters):
    """Run one scenario in a fleet of node processes and return its Result."""
    with ProcessGroup() as process_group, tempfile.TemporaryDirectory() as directory:
        log = process_group.start("mulberryhub.standins.log")
        start = Clock().now() + START_DELAY_MS
        plans = [
            make_plan(scenario, parameters, index, start, log.address, directory)
            for index in range(parameters.nodes)
        ]
        nodes = [
            process_group.start(
                "benchmarks.limits_node", msgspec.json.encode(plan).decode()
            )
            for plan in plans
        ]
        halfway = start + parameters.duration // 2
        if scenario.kills_node:
            sleep(max(0, halfway - Clock().now()) / 1000)
            nodes.pop().kill()
            plans.pop()
        records = [read_record(plan) for plan in plans]
    return summarise(scenario, parameters, records, start, halfway)


def make_plan(scenario, parameters, index, start, log_address, directory):
    """Return the Plan of the node with the given index.

    If the scenario kills a node, it is the last one, and the other nodes take over
    its load.
    """
    total_load = scenario.load_factor * parameters.rate * parameters.workspaces
    offered = total_load / parameters.nodes
    offered_after_change = (
        total_load / (parameters.nodes - 1) if scenario.kills_node else offered
    )
    if scenario.single_node:
        offered = offered_after_change = total_load if index == 0 else 0
    if scenario.kills_node and index == parameters.nodes - 1:
        # A killed node writes no record of what it admitted, so it is offered no load.
        offered = 0
    return Plan(
        vm=f"vm-{index}",
        log_address=log_address,
        output=str(Path(directory) / f"{index}.json"),
        workspaces=parameters.workspaces,
        rate=parameters.rate,
        burst=parameters.burst,
        start=start,
        end=start + parameters.duration,
        offered=offered,
        changed_at=start + parameters.duration // 2,
        changed_offered=offered_after_change,
        least_cost=parameters.least_cost,
        most_cost=parameters.most_cost,
        used_share=scenario.used_share,
        seed=parameters.seed * 1_000 + index,
    )


def read_record(plan):
    """Wait for the record of a node and return it.

    Raise TimeoutError if there is none RECORD_TIMEOUT_MS after the end of the plan.
    """
    clock = Clock()
    while not Path(plan.output).exists():
        if clock.now() > plan.end + RECORD_TIMEOUT_MS:
            raise TimeoutError(f"{plan.vm} did not write its record in time")
        sleep(0.1)
    return msgspec.json.decode(Path(plan.output).read_bytes(), type=Record)


def summarise(scenario, parameters, records, start, halfway):
    """Return the Result that follows from the records of all nodes."""
    arrivals_by_workspace = {}
    for record in records:
        for arrival in record.arrivals:
            arrivals_by_workspace.setdefault(arrival.workspace, []).append(arrival)
    arrival_groups = arrivals_by_workspace.values()
    refusals = [
        item
        for group in arrival_groups
        for item in wrong_refusals(group, parameters, start)
    ]
    arrivals = [item for group in arrival_groups for item in group]
    seconds = parameters.duration / 1000
    arrivals_after_kill = [item for item in arrivals if is_after_kill(item, halfway)]
    refusals_after_kill = [item for item in refusals if is_after_kill(item, halfway)]
    waits = sorted(item.admitted - item.arrived for item in arrivals if item.admitted)
    cpu_ms = sum(record.processor_time for record in records)
    return Result(
        scenario=scenario.name,
        nodes=parameters.nodes,
        requests=len(arrivals),
        excess=round(
            max(worst_excess(group, parameters) for group in arrival_groups), 1
        ),
        wrongly_refused=round(len(refusals) / len(arrivals), 5),
        wrongly_refused_after_kill=(
            round(len(refusals_after_kill) / len(arrivals_after_kill), 5)
            if scenario.kills_node and arrivals_after_kill
            else None
        ),
        use=round(utilisation(arrivals, parameters, start), 4),
        waits_p95=waits[int(0.95 * len(waits))],
        calls=round(sum(r.calls_made for r in records) / len(records) / seconds, 2),
        kilobytes=round(
            sum(r.bytes_moved for r in records) / len(records) / seconds / 1000, 2
        ),
        processor_share=round(cpu_ms / len(records) / seconds, 4),
    )


def is_after_kill(arrival, halfway):
    """Return whether a request arrived within AFTER_KILL_MS after the kill."""
    return halfway <= arrival.arrived < halfway + AFTER_KILL_MS


def wrong_refusals(arrivals, parameters, start):
    """Return the refused requests that a single bucket would have admitted."""
    bucket = IdealBucket(parameters.rate / 1000, parameters.burst, start)
    refusals = []
    for arrival in sorted(arrivals, key=lambda item: item.arrived):
        is_admissible = bucket.debit(arrival.arrived, arrival.cost)
        if is_admissible and arrival.admitted is None:
            refusals.append(arrival)
    return refusals


def worst_excess(arrivals, parameters):
    """Return by how many tokens the worst time window exceeds its limit, or 0.

    A window may use the burst and what the rate allows in its length plus
    CLOCK_RESOLUTION_MS.
    """
    rate, used, last_time, worst = parameters.rate / 1000, 0.0, None, 0.0
    admitted = [item for item in arrivals if item.admitted is not None]
    for item in sorted(admitted, key=lambda item: item.admitted):
        if last_time is not None:
            used = max(0.0, used - rate * (item.admitted - last_time))
        last_time = item.admitted
        used += item.used
        worst = max(worst, used - parameters.burst - rate * CLOCK_RESOLUTION_MS)
    return worst


def utilisation(arrivals, parameters, start):
    """Return the tokens used after the warm-up as a share of what the rate allows."""
    begin, end = start + WARM_UP_MS, start + parameters.duration
    tokens = sum(
        item.used
        for item in arrivals
        if item.admitted is not None and begin <= item.admitted < end
    )
    return tokens / (parameters.rate * parameters.workspaces * (end - begin) / 1000)


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
    """Run all scenarios, or the one named, and print their results.

    :param nodes: number of router processes
    :param workspaces: number of workspaces, each with the same rate and burst
    :param rate: tokens per second of each workspace
    :param burst: burst of each workspace in tokens
    :param seconds: duration of each scenario
    :param least_cost: tokens of the smallest request
    :param most_cost: tokens of the largest request
    :param seed: seed of the arrivals
    :param scenario: name of the only scenario to run; all by default
    :param json: print JSON lines instead of a table
    """
    parameters = RunParameters(
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
            result = run_scenario(item, parameters)
            values = msgspec.structs.astuple(result)
            line = (
                msgspec.json.encode(result).decode()
                if json
                else " | ".join(map(str, values))
            )
            print(line, flush=True)


if __name__ == "__main__":
    defopt.run(main)
