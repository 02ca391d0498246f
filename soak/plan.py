"""The faults and planned changes of a run, drawn from its seed."""

from enum import StrEnum
from random import Random

from soak.links import Fault

FIRST_AT = 1.0  # s
QUIET_END = 8.0  # s without new steps before the end of a run
GAPS = (0.2, 1.4)  # s between steps
DURATIONS = (0.3, 3.5)  # s


class Kind(StrEnum):
    """What a step does; planned changes are no faults."""

    STORE_FAULT = "store_fault"
    STORE_LINK = "store_link"
    WORKER_LINK = "worker_link"
    WORKER_FAULT = "worker_fault"
    WORKER_KILL = "worker_kill"
    WORKER_PAUSE = "worker_pause"
    ROUTER_KILL = "router_kill"
    ROUTER_PAUSE = "router_pause"
    FORGET = "forget"
    ROUTER_STOP = "router_stop"
    ROUTER_HUP = "router_hup"
    CONFIGURE = "configure"
    WITHDRAW = "withdraw"
    NEW_WEIGHTS = "new_weights"
    DRAIN = "drain"


PLANNED = frozenset(
    (
        Kind.ROUTER_STOP,
        Kind.ROUTER_HUP,
        Kind.CONFIGURE,
        Kind.WITHDRAW,
        Kind.NEW_WEIGHTS,
        Kind.DRAIN,
    )
)
STORE_FAULTS = ("refuse", "hang", "lose")
WORKER_FAULTS = ("shed", "pause", "error", "cut", "silent")
LINK_FAULTS = tuple(fault for fault in Fault if fault is not Fault.NONE)


class Step:
    """A step that begins `at` s and lasts `duration` s at the `index`th target."""

    __slots__ = ("at", "duration", "kind", "index", "how")

    def __init__(self, at, duration, kind, index, how):
        self.at = at
        self.duration = duration
        self.kind = kind
        self.index = index
        self.how = how

    @property
    def is_fault(self):
        """Tell whether it is more than planned work."""
        return self.kind not in PLANNED

    def __str__(self):
        return f"{self.at:.2f} {self.kind} {self.index} {self.how or ''}".rstrip()


def make_plan(seed, seconds):
    """Return the Steps of a run in the order of their start; some overlap."""
    random = Random(seed)
    steps = []
    at = FIRST_AT
    while at < seconds - QUIET_END:
        steps.append(_draw(random, at))
        at += random.uniform(*GAPS)
    return steps


def _draw(random, at):
    kind = random.choice(list(Kind))
    how = None
    if kind is Kind.STORE_FAULT:
        how = random.choice(STORE_FAULTS)
    elif kind in (Kind.STORE_LINK, Kind.WORKER_LINK):
        how = random.choice(LINK_FAULTS)
    elif kind is Kind.WORKER_FAULT:
        how = random.choice(WORKER_FAULTS)
    duration = random.uniform(*DURATIONS)
    return Step(at, duration, kind, random.randrange(1_000), how)
