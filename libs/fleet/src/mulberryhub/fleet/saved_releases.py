"""What the store keeps of releases: for the next decider, and for the platform."""

import msgspec

from mulberryhub.base.ranges import Count, Name, Number, Text
from mulberryhub.fleet.release_records import ReleaseStatus


class SavedRelease(msgspec.Struct, frozen=True):
    """What the next decider needs to go on with a release.

    `seen_at` is when the order was first seen (Unix ms). `duration` in ms counts from
    then. `exposed` and `received` are the requests that the target and the service have
    received. The other fields are those of ReleaseState.
    """

    service: Text
    target: Text
    order_offset: Number
    release: Number
    state: ReleaseStatus
    seen_at: Number
    duration: Count
    excluded_versions: list[Text | None] = []
    initial_versions: list[Text | None] = []
    exposed: Count = 0
    received: Count = 0
    reason: Name = ""


class StatusRecord(msgspec.Struct, frozen=True):
    """The status of a service's release, which the platform follows."""

    service: Text
    state: ReleaseStatus
    target: Text


class ReleaseListing(msgspec.Struct):
    """All records of both topics, with the end of each topic before it was read.

    An end is the condition on which the next record is written. `era` is that of the
    store.
    """

    saved_by_service: dict[str, SavedRelease]
    status_by_service: dict[str, StatusRecord]
    saved_end: int
    status_end: int
    era: int
