"""Messages that routers exchange about the configuration."""

from zlib import compress, decompress, error as ZlibError

import msgspec

from mulberryhub.replica.records import ConfigSnapshot, WithdrawKey

SYNC_METHOD = "config.sync"
WITHDRAW_METHOD = "config.withdraw"
SNAPSHOT_METHOD = "config.snapshot"
STATUS_METHOD = "config.status"


class SyncRequest(msgspec.Struct, frozen=True):
    """The caller's offset and a digest of its pending withdrawals."""

    offset: int
    digest: int


class SyncAnswer(msgspec.Struct, frozen=True):
    """The answering router's offset and a digest of its pending withdrawals.

    `pending` is empty if the digests are equal. If `is_fresh` is False, the answer
    does not confirm the caller's state: the answering router does not know the
    active configuration, or was paused and has not confirmed it since.
    """

    offset: int
    digest: int
    is_fresh: bool = msgspec.field(name="fresh")
    pending: list[WithdrawKey] = []


class WithdrawRequest(msgspec.Struct, frozen=True):
    """Withdrawals that the log may not hold yet."""

    pending: list[WithdrawKey]


class SnapshotRequest(msgspec.Struct, frozen=True):
    """Requests the state if its position is greater than `position`."""

    position: int


class SnapshotAnswer(msgspec.Struct, frozen=True):
    """The state as an encoded ConfigSnapshot, or None, and pending withdrawals."""

    data: bytes | None
    pending: list[WithdrawKey]


class StatusRequest(msgspec.Struct, frozen=True):
    """Requests a router's status and whether it refuses the key `key_hash`."""

    key_hash: str = ""


class EmptyAnswer(msgspec.Struct, frozen=True):
    """The answer to a call that returns nothing."""


def encode_snapshot(snapshot):
    """Return a ConfigSnapshot as zlib-compressed JSON."""
    return compress(msgspec.json.encode(snapshot), 1)


def decode_snapshot(data):
    """Return the ConfigSnapshot in `data`, or None if it is malformed."""
    try:
        return msgspec.json.decode(decompress(data), type=ConfigSnapshot)
    except (ZlibError, msgspec.DecodeError, UnicodeDecodeError):
        return None
