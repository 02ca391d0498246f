"""Decides how many requests a new version receives, and when a release ends."""

from enum import StrEnum

import msgspec

from mulberryhub.releases.evidence import Evidence, strongest_evidence
from mulberryhub.releases.exposure import (
    TURN_MS,
    Exposure,
    plan_exposure,
    time_of_turns,
)
from mulberryhub.releases.windows import Windows

# Evidence as -ln of the probability that it is an accident. A running release is looked
# at up to 60 times, in some ways and on some routes each, and a good version must pass.
CERTAIN_STRENGTH = 10.0
DEADLINE_STRENGTH = 8.0
LASTING_PART = 0.4  # of the rollback time, after which strong evidence is certain
DOUBT_STRENGTH = 4.0  # observed for as long as possible
ENOUGH_OUTCOMES = 60  # a version that fails a tenth fails some of them
# Before the deadline, for the write to the store and, in the first case, for another
# decider to take over.
MAX_MARGIN_MS, MARGIN_PART = 3_000, 0.2
MAX_LATE_MARGIN_MS, LATE_MARGIN_PART = 800, 0.1
FIRST_OUTCOMES_MS = 1_000  # in which a new decider has heard all routers


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

    The target's requests go to `upstreams` of its ready upstreams, the same ones at
    each router, so that these are observed under the load of a completed release. It is
    0 if the target receives none. Which ones is given by `turn`, see
    `observed_upstreams`. `reason` is text for the log.
    """

    state: State
    share: float
    upstreams: int
    reason: str
    turn: int = 0


class Progress:
    """What the decider of a release keeps between two decisions.

    The caller sets `target_upstreams` and `old_upstreams`, the numbers of ready ones,
    before each decision. `exposed` and `received` are the requests that the target
    and the service have received so far. These are saved in the store, and a decider
    that continues the release begins with them.
    """

    __slots__ = (
        "target_upstreams",
        "old_upstreams",
        "exposure",
        "windows",
        "evidence",
        "_first_age",
        "_strong_since",
    )

    def __init__(self, exposed=0, received=0):
        self.target_upstreams = 0
        self.old_upstreams = 0
        self.exposure = Exposure(exposed, received)
        self.windows = Windows()
        self.evidence = Evidence()
        self._first_age = None
        self._strong_since = None  # age in ms since when evidence is strong

    @property
    def exposed(self):
        """Return the number of requests that the target has received."""
        return self.exposure.exposed

    @property
    def received(self):
        """Return the number of requests that the service has received."""
        return self.exposure.received

    def observe(self, age, bounds, outcomes):
        """Add the outcomes of all routers that are known `age` ms after the order."""
        if self._first_age is None:
            self._first_age = age
        self.exposure.observe(age, outcomes, self.has_heard_all(age))
        if self.windows.is_due(age):
            settled = self.exposure.settled_time(age)
            self.windows.close(age, outcomes, settled)
            slow_time = time_of_turns(bounds, self.target_upstreams)
            self.evidence = strongest_evidence(self.windows, slow_time)
        if self.evidence.strength < DEADLINE_STRENGTH:
            self._strong_since = None
        elif self._strong_since is None:
            self._strong_since = age

    def is_certain(self, age, bounds):
        """Return whether the evidence is certain, or strong for some time."""
        if self.evidence.strength >= CERTAIN_STRENGTH:
            return True
        since = age if self._strong_since is None else self._strong_since
        return age - since >= LASTING_PART * bounds.rollback_time

    def has_heard_all(self, age):
        """Return whether this decider has had the time to hear all routers."""
        return age - self._first_age >= FIRST_OUTCOMES_MS


def decide(order, age, bounds, outcomes, progress):
    """Return the Decision on a release `age` ms after its order's record.

    `order` has the `target` and the `duration` in ms, `outcomes` are those of all
    routers and may be 1 s old. Call it every 100 to 500 ms, and in order of age.
    """
    progress.observe(age, bounds, outcomes)
    evidence = progress.evidence
    if progress.is_certain(age, bounds):
        return Decision(State.ROLLED_BACK, 0.0, 0, evidence.text)
    end, reason = _end(order, outcomes, progress)
    if age >= end and progress.has_heard_all(age):
        return _final_decision(evidence, outcomes, progress)
    plan = plan_exposure(age, end, bounds, progress.exposure, progress.target_upstreams)
    progress.exposure.record_share(age, plan.share)
    turn = int(age // TURN_MS)
    return Decision(State.RUNNING, plan.share, plan.upstreams, reason, turn)


def _end(order, outcomes, progress):
    """Return the age in ms at which the release ends, and what is waited for.

    A version may turn bad late, so a good one is observed for most of the time, and one
    with few outcomes or in doubt until just before the deadline.
    """
    late_end = order.duration - min(
        MAX_LATE_MARGIN_MS, LATE_MARGIN_PART * order.duration
    )
    if not progress.target_upstreams:
        return late_end, "the target has no ready upstream"
    if progress.evidence.strength >= DOUBT_STRENGTH:
        return late_end, f"in doubt: {progress.evidence.text}"
    if outcomes.target_ended < ENOUGH_OUTCOMES:
        return late_end, f"{outcomes.target_ended} outcomes of the target"
    end = order.duration - min(MAX_MARGIN_MS, MARGIN_PART * order.duration)
    return end, f"{outcomes.target_ended} outcomes, {progress.evidence.text}"


def _final_decision(evidence, outcomes, progress):
    """Return the Decision at the end of the time."""
    if not progress.target_upstreams:
        return Decision(
            State.ROLLED_BACK, 0.0, 0, "the target has no ready upstream at the end"
        )
    if evidence.strength >= DEADLINE_STRENGTH:
        return Decision(State.ROLLED_BACK, 0.0, 0, f"at the end: {evidence.text}")
    reason = f"{outcomes.target_ended} outcomes, {evidence.text}"
    if evidence.strength:
        reason = f"{outcomes.target_ended} outcomes, not significant: {evidence.text}"
    return Decision(State.COMPLETED, 1.0, progress.target_upstreams, reason)
