"""Records of releases: the operator's orders, and what the deciding router publishes.

A release moves a service from one software version to another. See
docs/design/release-control.md.
"""

from enum import StrEnum

import msgspec

from mulberryhub.base.ranges import Amount, Count, Name, Number, Text
from mulberryhub.fleet.store import offset_of


class ReleaseStatus(StrEnum):
    """The state of a release, as the platform knows it."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class ReleaseOrder(msgspec.Struct, frozen=True, tag=True):
    """The operator's order to move `service` to the software version `target`.

    `duration` is in ms, from the order's record in the store, whose position is
    `offset`. An order without a target is withdrawn.
    """

    service: Text
    target: Text
    duration: Count
    offset: Number

    @property
    def is_withdrawn(self):
        """Return whether this record withdraws the order."""
        return not self.target

    def is_same(self, other):
        """Return whether `other` is the same record of the store.

        A store that came back from an older copy lists its records at the same offsets
        in a later era.
        """
        return (
            offset_of(self.offset) == offset_of(other.offset)
            and self.target == other.target
            and self.duration == other.duration
        )


class ReleaseState(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """The state of a release, published by the router that decides on it.

    A higher pair of `fence`, the offset of the decider's lease, and `revision` is
    newer. `share` is the fraction of the requests that the target receives. `age` is
    the time in ms since the order, after which it ends at `duration`. `order_offset` is
    that of the order, and `release` that of the first one, which a repeated order does
    not replace while the release is running. The target's requests go to `upstreams` of
    its upstreams, which `turn` selects. No request goes to `excluded_versions`.
    `initial_versions` were in service when the order was first seen. `written_era` is
    the era of the store that has the status, -1 for none.
    """

    service: Text
    target: Text
    order_offset: Number
    state: ReleaseStatus
    share: Amount
    fence: Number
    revision: Number
    release: Number = -1
    duration: Count = 0
    age: Count = 0
    upstreams: Count = 0
    turn: Count = 0
    excluded_versions: list[Text | None] = []
    initial_versions: list[Text | None] = []
    written_era: Number = -1
    reason: Name = ""

    @property
    def order(self):
        """Return the sort key that orders states by age."""
        return (self.fence, self.revision)

    @property
    def is_running(self):
        """Return whether the release has not ended."""
        return self.state is ReleaseStatus.RUNNING

    def belongs_to(self, order):
        """Return whether this is the state of the release that `order` asks for."""
        return self.target == order.target and (
            offset_of(self.order_offset) == offset_of(order.offset)
        )
