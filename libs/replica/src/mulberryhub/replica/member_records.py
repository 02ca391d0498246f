"""Records of the log stream `members`, encoded as MessagePack."""

import msgspec

from mulberryhub.peers.members import Member, View

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
    """The member uses at most its shares under the view `view` and later views.

    `view` is the number of the view.
    """

    vm: str
    incarnation: str
    view: int


class Left(msgspec.Struct, tag="left"):
    """The member no longer uses or lends its shares, and is stopping."""

    vm: str
    incarnation: str


class Gone(msgspec.Struct, tag="gone"):
    """The platform's VM list contained the VM and no longer does.

    `by` is the VM of the router that observed it.
    """

    vm: str
    incarnation: str
    by: str


class SnapshotRequested(msgspec.Struct, tag="snapshot_wanted"):
    """A router needs a snapshot to replay the stream, since records have expired."""

    vm: str


class MembersSnapshot(msgspec.Struct, tag="snapshot"):
    """All members and open views after the record at offset `through`."""

    through: int
    members: list[Member]
    views: list[View]


MemberRecord = (
    Joined | Listed | Adopted | Left | Gone | SnapshotRequested | MembersSnapshot
)


def encode_record(record):
    """Return the log payload of a record."""
    return msgspec.msgpack.encode(record)


def decode_record(payload):
    """Return the record in `payload`. Raise msgspec.DecodeError if it is malformed."""
    return msgspec.msgpack.decode(payload, type=MemberRecord)
