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


class EditInventory(
    msgspec.Struct, frozen=True, tag="edit_inventory", tag_field="kind"
):
    """Change items of the inventory, if no inventory or key was set after `base`.

    `replaced` is an inventory of the new and changed items with all rules;
    `removed` holds ids by collection.
    """

    change: str
    author: str
    base: int
    replaced: msgspec.Raw
    removed: dict[str, list[str]]
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
    """A record of a kind that only newer routers know.

    With a `base` it is a change that is compared as others are, so that routers
    of all versions agree which of the later changes are stale.
    """

    __slots__ = ("kind", "change", "author", "base")

    def __init__(self, header):
        self.kind = header.kind
        self.change = header.change
        self.author = header.author
        self.base = header.base


class Outcome(Enum):
    """What a record did to the state."""

    ACCEPTED = auto()
    STALE = auto()
    REFUSED = auto()
    IGNORED = auto()


class _Header(msgspec.Struct):
    kind: str
    change: str = ""
    author: str = ""
    base: int | None = None


RECORD_TYPES = (SetInventory, EditInventory, AddKey, WithdrawKey, Snapshot)
KINDS = frozenset(type_.__struct_config__.tag for type_ in RECORD_TYPES)
AnyRecord = SetInventory | EditInventory | AddKey | WithdrawKey | Snapshot


def encode(record):
    """Return the payload of a record."""
    return msgspec.json.encode(record)


def decode(payload):
    """Return the record in `payload`, Unknown, or None where it is malformed."""
    try:
        return msgspec.json.decode(payload, type=AnyRecord)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return _unknown(payload)


def _unknown(payload):
    try:
        header = msgspec.json.decode(payload, type=_Header)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    return None if header.kind in KINDS else Unknown(header)
