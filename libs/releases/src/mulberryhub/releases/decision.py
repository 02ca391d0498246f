"""Decides how many requests a new version receives, and when a release ends."""

from enum import StrEnum

import msgspec


class State(StrEnum):
    """The state of a release; the last two are final."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class ReleaseBounds(msgspec.Struct, frozen=True):
    """What a bad version may receive at most; `rollback_time` is in ms.

    At each moment, the target has received at most `expose_share` of the requests so
    far and `expose_slack` more. A bad one receives none after `rollback_time` from its
    50th bad response on.
    """

    expose_share: float = 0.1
    expose_slack: int = 50
    rollback_time: int = 5_000


class Decision(msgspec.Struct, frozen=True):
    """The state of a release, and the share of requests that the target receives.

    The target's requests go to `upstreams` of its upstreams only, the same at each
    router, so that these are observed under the load of a completed release. `reason`
    is text for the log.
    """

    state: State
    share: float
    upstreams: int
    reason: str


class Progress:
    """What the decider of a release keeps between two decisions.

    The caller sets `target_upstreams` and `old_upstreams`, the numbers of ready ones,
    before each decision. `exposed` and `received` are the requests that the target
    and the service have received so far. These are saved in the store, and a decider
    that continues the release begins with them.
    """

    __slots__ = ("target_upstreams", "old_upstreams", "exposed", "received")

    def __init__(self, exposed=0, received=0):
        self.target_upstreams = 0
        self.old_upstreams = 0
        self.exposed = exposed
        self.received = received


def decide(order, age, bounds, outcomes, progress):
    """Return the Decision on a release `age` ms after its order's record.

    `order` has the `target` and the `duration` in ms, `outcomes` are those of all
    routers and may be 1 s old. Call it every 100 to 500 ms, and in order of age.
    """
    raise NotImplementedError
