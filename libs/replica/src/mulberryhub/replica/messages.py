"""Messages that routers exchange about the configuration."""

from zlib import compress, decompress, error as ZlibError

import msgspec

from mulberryhub.replica.records import Snapshot, WithdrawKey

SYNC = "config.sync"
WITHDRAW = "config.withdraw"
SNAPSHOT = "config.snapshot"
STATUS = "config.status"


class SyncRequest(msgspec.Struct, frozen=True):
    """What the caller knows: its offset and a digest of its pending withdrawals."""

    offset: int
    digest: int


class SyncAnswer(msgspec.Struct, frozen=True):
    """What the answerer knows; `pending` is empty where the digests agree.

    An answer that is not `fresh` proves nothing: its sender was paused.
    """

    offset: int
    digest: int
    fresh: bool
    pending: list[WithdrawKey] = []


class WithdrawRequest(msgspec.Struct, frozen=True):
    """Withdrawals that the log may not hold yet."""

    pending: list[WithdrawKey]


class SnapshotRequest(msgspec.Struct, frozen=True):
    """Ask for the state if it is newer than that before `position`."""

    position: int


class SnapshotAnswer(msgspec.Struct, frozen=True):
    """The state as compressed JSON, or None, and the pending withdrawals."""

    data: bytes | None
    pending: list[WithdrawKey]


class StatusRequest(msgspec.Struct, frozen=True):
    """Ask a router what it has in force, and whether it refuses a key."""

    key_hash: str = ""


class Done(msgspec.Struct, frozen=True):
    """The answer of a call that returns nothing."""


def pack(snapshot):
    """Return a Snapshot as compressed JSON."""
    return compress(msgspec.json.encode(snapshot), 1)


def unpack(data):
    """Return the Snapshot in `data`, or None where it is malformed."""
    try:
        return msgspec.json.decode(decompress(data), type=Snapshot)
    except (ZlibError, msgspec.DecodeError, UnicodeDecodeError):
        return None
