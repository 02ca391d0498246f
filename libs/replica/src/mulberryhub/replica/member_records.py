"""Records of the log stream `members`, encoded as MessagePack."""

import msgspec

from mulberryhub.peers.members import Member, MembershipView

MEMBERS_STREAM = "members"


class Joined(msgspec.Struct, tag="joined"):
    """A router has started.

    It must not use any shares until it has read this record back.
    """

    vm: str
    incarnation: str
    data_centre: str
    peer_address: str


class Listed(msgspec.Struct, tag="listed"):
    """The platform's VM list contains the VM of this member."""

    vm: str
    incarnation: str


class Adopted(msgspec.Struct, tag="adopted"):
    """The member uses at most its shares under the view `view_number` and later views.

    `view_number` is the offset of the view.
    """

    vm: str
    incarnation: str
    view_number: int = msgspec.field(name="view")


class Left(msgspec.Struct, tag="left"):
    """The member no longer uses or lends its shares, and is stopping."""

    vm: str
    incarnation: str


class Removed(msgspec.Struct, tag="gone"):
    """The platform's VM list contained the VM and no longer does.

    `reported_by` is the VM of the router that observed it.
    """

    vm: str
    incarnation: str
    reported_by: str = msgspec.field(name="by")


class SnapshotRequested(msgspec.Struct, tag="snapshot_wanted"):
    """A router needs a snapshot to replay the stream, since records have expired."""

    vm: str


class MembersSnapshot(msgspec.Struct, tag="snapshot"):
    """All members and open views after the record at offset `last_offset`."""

    last_offset: int = msgspec.field(name="through")
    members: list[Member]
    views: list[MembershipView]


MemberRecord = (
    Joined | Listed | Adopted | Left | Removed | SnapshotRequested | MembersSnapshot
)


def encode_record(record):
    """Return the log payload of a record."""
    return msgspec.msgpack.encode(record)


def decode_record(payload):
    """Return the record in `payload`. Raise msgspec.DecodeError if it is malformed."""
    return msgspec.msgpack.decode(payload, type=MemberRecord)
