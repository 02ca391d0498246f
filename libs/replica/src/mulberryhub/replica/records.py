"""The records of the log stream `config`, one JSON document each.

Each change carries a unique id, its author and the base offset that the author
saw. Readers ignore fields that they don't know.
"""

from enum import Enum, auto

import msgspec

from mulberryhub.config.administration import Change
from mulberryhub.config.inventory import Key

STREAM = "config"
FORMAT = 1  # version of the inventory's types
NO_INVENTORY = b"null"


class SetInventory(msgspec.Struct, frozen=True, tag="set_inventory", tag_field="kind"):
    """Replace the inventory, if no inventory or key was set after `base`."""

    change: str
    author: str
    base: int
    inventory: msgspec.Raw
    format: int = FORMAT


class AddKey(msgspec.Struct, frozen=True, tag="add_key", tag_field="kind"):
    """Add a caller's key by its hash, if nothing was set after `base`."""

    change: str
    author: str
    base: int
    hash: str
    workspace: str


class WithdrawKey(msgspec.Struct, frozen=True, tag="withdraw_key", tag_field="kind"):
    """Withdraw a key for good; `base` is kept for audit and never compared."""

    change: str
    author: str
    base: int
    hash: str


class Snapshot(msgspec.Struct, frozen=True, tag="snapshot", tag_field="kind"):
    """The whole state before the record at offset `position`.

    `inventory` is null where none was set; `offset` is that of the last accepted
    change, `compared` that of the last one that later changes are compared with.
    `unread` is the offset of the first
    inventory that the writer could not read, or None. A snapshot is not
    `complete` when its writer has met anything newer than itself.
    """

    position: int
    offset: int
    compared: int
    inventory: msgspec.Raw
    added: list[Key]
    withdrawn: list[str]
    history: list[Change]
    unread: int | None = None
    complete: bool = True


class Unknown:
    """A record of a kind that only newer routers know."""

    __slots__ = ("kind",)

    def __init__(self, kind):
        self.kind = kind


class Outcome(Enum):
    """What a record did to the state."""

    ACCEPTED = auto()
    STALE = auto()
    REFUSED = auto()
    IGNORED = auto()


class _Kind(msgspec.Struct):
    kind: str


KINDS = frozenset({"set_inventory", "add_key", "withdraw_key", "snapshot"})


def encode(record):
    """Return the payload of a record."""
    return msgspec.json.encode(record)


def decode(payload):
    """Return the record in `payload`, Unknown, or None where it is malformed."""
    try:
        return msgspec.json.decode(
            payload, type=SetInventory | AddKey | WithdrawKey | Snapshot
        )
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return _unknown(payload)


def _unknown(payload):
    try:
        kind = msgspec.json.decode(payload, type=_Kind).kind
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    return None if kind in KINDS else Unknown(kind)
