"""Records of the log's stream `members`."""

import msgspec

from mulberryhub.peers.members import Member, View

STREAM = "members"


class Joined(msgspec.Struct, tag="joined"):
    """A router has started; it uses nothing before it has read this record."""

    vm: str
    incarnation: str
    data_centre: str
    peer_address: str


class Listed(msgspec.Struct, tag="listed"):
    """The platform's list shows the VM of this member."""

    vm: str
    incarnation: str


class Adopted(msgspec.Struct, tag="adopted"):
    """The member uses no more than its shares under `view` and later ones."""

    vm: str
    incarnation: str
    view: int


class Left(msgspec.Struct, tag="left"):
    """The member has stopped using and lending its shares, and stops."""

    vm: str
    incarnation: str


class Gone(msgspec.Struct, tag="gone"):
    """The platform's list had the VM and has dropped it, as `by` has seen."""

    vm: str
    incarnation: str
    by: str


class SnapshotWanted(msgspec.Struct, tag="snapshot_wanted"):
    """A router cannot replay the stream, since records have expired."""

    vm: str


class Snapshot(msgspec.Struct, tag="snapshot"):
    """All members and open views after the record at offset `through`."""

    through: int
    members: list[Member]
    views: list[View]


MemberRecord = Joined | Listed | Adopted | Left | Gone | SnapshotWanted | Snapshot


def encode_record(record):
    """Return the bytes of a record."""
    return msgspec.msgpack.encode(record)


def decode_record(payload):
    """Return the record in `payload`. Raise msgspec.DecodeError."""
    return msgspec.msgpack.decode(payload, type=MemberRecord)
