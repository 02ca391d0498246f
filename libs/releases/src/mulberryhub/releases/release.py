"""One release, as the decider keeps it between two decisions."""

import msgspec

from mulberryhub.fleet.release_records import ReleaseState, ReleaseStatus
from mulberryhub.fleet.saved_releases import SavedRelease
from mulberryhub.fleet.store import offset_of
from mulberryhub.releases.decision import Progress

WITHDRAWN = "the order was withdrawn"
RETURNED = "the target alone was in service before the order that this one replaces"


class Release:
    """A release with its latest Decision, which is None before the first.

    `saved` is what the store is to have of it, without the requests counted since.
    `seen_at` is the ms at which the order was first seen. `saved_at` is when it was
    last written, None before that, and `written_era` the era of the store that has its
    present state, -1 for none. `is_end_known` is set once a release that has ended
    would have ended for another decider too.
    """

    __slots__ = (
        "saved",
        "seen_at",
        "decision",
        "progress",
        "saved_at",
        "written_era",
        "decided_at",
        "published_at",
        "is_end_known",
        "revised",
    )

    def __init__(self, saved, seen_at):
        self.saved = saved
        self.seen_at = seen_at
        self.decision = None
        self.progress = None
        self.saved_at = None
        self.written_era = -1
        self.decided_at = None
        self.published_at = None
        self.is_end_known = not self.is_running
        self.revised = True

    @property
    def is_running(self):
        """Return whether the release has not ended."""
        return self.saved.state is ReleaseStatus.RUNNING

    def is_for(self, order):
        """Return whether this is the release that `order` asks for, as it is now."""
        return offset_of(self.saved.order_offset) == offset_of(order.offset) and (
            order.is_withdrawn or self.saved.target == order.target
        )

    def begin_progress(self):
        """Go on from the saved numbers of requests."""
        self.progress = Progress(self.saved.exposed, self.saved.received)

    def replace(self, **values):
        """Replace fields of `saved`, which then are to be written."""
        self.saved = msgspec.structs.replace(self.saved, **values)
        self.written_era = -1
        self.revised = True

    def set_reason(self, reason):
        """Publish the reason of a decision; the store has it with the next write."""
        self.saved = msgspec.structs.replace(self.saved, reason=reason)
        self.revised = True

    def note_requests(self):
        """Note the numbers of requests, which are to be written."""
        if self.progress is not None:
            self.saved = msgspec.structs.replace(
                self.saved,
                exposed=int(self.progress.exposed),
                received=int(self.progress.received),
            )

    def end(self, state, reason, other_versions):
        """End the release; `other_versions` are those in service beside the target."""
        lost = {self.saved.target}
        if state is ReleaseStatus.COMPLETED:
            lost = set(other_versions)
        excluded = _listed(lost.union(self.saved.excluded_versions))
        self.replace(state=state, reason=reason, excluded_versions=excluded)
        self.is_end_known = False

    def record_written(self, era, now):
        """Record that the store has `saved` and its status as of `now` (ms)."""
        self.revised = self.revised or self.written_era != era
        self.is_end_known = not self.is_running
        self.written_era = era
        self.saved_at = now

    def to_state(self, fence, revision, now):
        """Return the ReleaseState to publish.

        A release that has ended is running until the store has its end, as another
        decider would otherwise not know of it, but its share is 0 at once.
        """
        saved, decision = self.saved, self.decision
        state = saved.state if self.is_end_known else ReleaseStatus.RUNNING
        is_exposed = decision is not None and self.is_running
        return ReleaseState(
            saved.service,
            saved.target,
            saved.order_offset,
            state,
            decision.share if is_exposed else 0,
            fence,
            revision,
            release=saved.release,
            duration=saved.duration,
            age=now - self.seen_at,
            upstreams=decision.upstreams if is_exposed else 0,
            turn=decision.turn if is_exposed else 0,
            excluded_versions=saved.excluded_versions,
            initial_versions=saved.initial_versions,
            written_era=self.written_era,
            reason=saved.reason,
        )


def begin_release(order, before, other_versions, now, wall, order_age):
    """Return the Release that `order`, seen `order_age` ms ago, asks for.

    `before` is the SavedRelease that the service had until now, or None.
    """
    excluded = set()
    if before is not None:
        excluded = set(before.excluded_versions)
        if before.state is ReleaseStatus.RUNNING:
            excluded.add(before.target)
    saved = SavedRelease(
        order.service,
        order.target,
        order.offset,
        order.offset,
        ReleaseStatus.RUNNING,
        seen_at=wall - order_age,
        duration=order.duration,
        excluded_versions=_listed(excluded - {order.target}),
        initial_versions=_listed(other_versions),
        reason="ordered",
    )
    release = Release(saved, now - order_age)
    if _is_return(order, before):
        release.end(ReleaseStatus.COMPLETED, RETURNED, other_versions)
    return release


def continue_release(order, before, now, age, order_age):
    """Return the Release `before`, `age` ms after its order, under `order`.

    A repeated order, seen `order_age` ms ago, changes its deadline only.
    """
    release = Release(before, now - age)
    if offset_of(before.order_offset) == offset_of(order.offset):
        return release
    if order.is_withdrawn:
        release.replace(order_offset=order.offset)
        if release.is_running:
            release.end(ReleaseStatus.ROLLED_BACK, WITHDRAWN, ())
        return release
    release.replace(order_offset=order.offset)
    if release.is_running:
        release.replace(duration=age - order_age + order.duration)
    return release


def goes_on(order, before):
    """Return whether the release `before` is the one that `order` is about.

    It goes on if it is for the same target and runs, or is in service.
    """
    if order.is_withdrawn or is_same_order(order, before):
        return True
    return (
        order.target == before.target and before.state is not ReleaseStatus.ROLLED_BACK
    )


def is_same_order(order, before):
    """Return whether `before` is a release for the same record of the store."""
    return order.target == before.target and (
        offset_of(before.order_offset) == offset_of(order.offset)
    )


def _is_return(order, before):
    """Return whether an order goes back to the only version that was in service."""
    return (
        before is not None
        and before.state is ReleaseStatus.RUNNING
        and before.initial_versions == [order.target]
    )


def _listed(versions):
    return sorted(versions, key=lambda version: version or "")
