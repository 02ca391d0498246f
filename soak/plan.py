"""Generates the faults and planned changes of a run from its seed."""

from enum import StrEnum
from random import Random

from soak.links import LinkFault

FIRST_STEP_S = 1.0
QUIET_END_S = 8.0  # No step starts so close to the end of a run.
GAP_RANGE_S = (0.2, 1.4)  # between the starts of two steps
DURATION_RANGE_S = (0.3, 3.5)


class StepKind(StrEnum):
    """The operation of a step: a fault or a planned change."""

    STORE_FAULT = "store_fault"
    STORE_LINK_FAULT = "store_link"
    WORKER_LINK_FAULT = "worker_link"
    WORKER_FAULT = "worker_fault"
    WORKER_KILL = "worker_kill"
    WORKER_PAUSE = "worker_pause"
    ROUTER_KILL = "router_kill"
    ROUTER_PAUSE = "router_pause"
    STORE_TRIM = "forget"
    STORE_REVERT = "revert"
    ROUTER_STOP = "router_stop"
    ROUTER_RELOAD = "router_hup"
    ADD_KEY = "configure"
    WITHDRAW_KEY = "withdraw"
    PUBLISH_WEIGHTS = "new_weights"
    WORKER_DRAIN = "drain"
    WORKER_LIMIT = "limit"


PLANNED_CHANGES = frozenset(
    (
        StepKind.ROUTER_STOP,
        StepKind.ROUTER_RELOAD,
        StepKind.ADD_KEY,
        StepKind.WITHDRAW_KEY,
        StepKind.PUBLISH_WEIGHTS,
        StepKind.WORKER_DRAIN,
        StepKind.WORKER_LIMIT,
    )
)
STORE_FAULTS = ("refuse", "hang", "lose")
REVERT_AGES_S = (1, 3, 10, 30)  # of the copy that the store comes back from
WORKER_LIMITS = (0, 0.5, 2, 10)  # requests/s
WORKER_FAULTS = ("shed", "pause", "error", "cut", "silent")
LINK_FAULTS = tuple(fault for fault in LinkFault if fault is not LinkFault.NONE)


class Step:
    """One fault or planned change of a run.

    `start` is in s since the run began and `duration` in s. `index`, taken modulo the
    number of candidates, selects the target. `mode` is the variant of a fault, or None.
    """

    __slots__ = ("start", "duration", "kind", "index", "mode")

    def __init__(self, start, duration, kind, index, mode):
        self.start = start
        self.duration = duration
        self.kind = kind
        self.index = index
        self.mode = mode

    @property
    def is_fault(self):
        """Return whether the step is a fault, not a planned change."""
        return self.kind not in PLANNED_CHANGES

    def __str__(self):
        return f"{self.start:.2f} {self.kind} {self.index} {self.mode or ''}".rstrip()


def make_plan(seed, seconds):
    """Return the Steps of a run of `seconds` s in order of start; some overlap."""
    random = Random(seed)
    steps = []
    start = FIRST_STEP_S
    while start < seconds - QUIET_END_S:
        steps.append(_draw_step(random, start))
        start += random.uniform(*GAP_RANGE_S)
    return steps


def _draw_step(random, start):
    kind = random.choice(list(StepKind))
    mode = None
    if kind is StepKind.STORE_FAULT:
        mode = random.choice(STORE_FAULTS)
    elif kind in (StepKind.STORE_LINK_FAULT, StepKind.WORKER_LINK_FAULT):
        mode = random.choice(LINK_FAULTS)
    elif kind is StepKind.WORKER_FAULT:
        mode = random.choice(WORKER_FAULTS)
    elif kind is StepKind.STORE_REVERT:
        mode = random.choice(REVERT_AGES_S)
    elif kind is StepKind.WORKER_LIMIT:
        mode = random.choice(WORKER_LIMITS)
    duration = random.uniform(*DURATION_RANGE_S)
    return Step(start, duration, kind, random.randrange(1_000), mode)
