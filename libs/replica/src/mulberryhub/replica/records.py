"""Records of the log stream `config`, each encoded as a JSON document.

Each change has a unique id, its author and a base: the offset of the configuration
that the author's change is based on. Stale changes have no effect. Readers ignore
unknown fields.
"""

from enum import Enum, auto

import msgspec

from mulberryhub.config.administration import HistoryEntry
from mulberryhub.config.inventory import Key

CONFIG_STREAM = "config"
INVENTORY_FORMAT = 1  # version of the inventory's types
NULL_INVENTORY_JSON = b"null"


class SetInventory(msgspec.Struct, frozen=True, tag="set_inventory", tag_field="kind"):
    """Replaces the inventory.

    It is stale if the inventory was changed or a key was added after `base`.
    `format` is the version of the inventory's types.
    """

    change_id: str = msgspec.field(name="change")
    author: str
    base: int
    inventory: msgspec.Raw
    format: int = INVENTORY_FORMAT


class EditInventory(
    msgspec.Struct, frozen=True, tag="edit_inventory", tag_field="kind"
):
    """Changes items of the inventory.

    It is stale if the inventory was changed or a key was added after `base`.
    `replaced` is an inventory that holds the new and changed items and all rules;
    `removed` holds the ids of removed items by collection.
    """

    change_id: str = msgspec.field(name="change")
    author: str
    base: int
    replaced: msgspec.Raw
    removed: dict[str, list[str]]
    format: int = INVENTORY_FORMAT


class AddKey(msgspec.Struct, frozen=True, tag="add_key", tag_field="kind"):
    """Adds a caller's key by its hash.

    It is stale if the inventory was changed or a key was added after `base`.
    """

    change_id: str = msgspec.field(name="change")
    author: str
    base: int
    key_hash: str = msgspec.field(name="hash")
    workspace: str


class WithdrawKey(msgspec.Struct, frozen=True, tag="withdraw_key", tag_field="kind"):
    """Withdraws a key permanently.

    It is never stale: `base` is recorded for audits only.
    """

    change_id: str = msgspec.field(name="change")
    author: str
    base: int
    key_hash: str = msgspec.field(name="hash")


class ConfigSnapshot(msgspec.Struct, frozen=True, tag="snapshot", tag_field="kind"):
    """The whole state before the record at offset `position`.

    `offset` is the offset of the last accepted change, and `min_base` the lowest
    base that is not stale; both are -1 if there was no such change. `inventory` is
    null if none was set. `unread_offset` is the offset of the first change that the
    writer could not decode, or None. `is_complete` is False if the writer has read
    records or fields that its version does not know.
    """

    position: int
    offset: int
    min_base: int = msgspec.field(name="compared")
    inventory: msgspec.Raw
    added_keys: list[Key] = msgspec.field(name="added")
    withdrawn_hashes: list[str] = msgspec.field(name="withdrawn")
    history: list[HistoryEntry]
    unread_offset: int | None = msgspec.field(default=None, name="unread")
    is_complete: bool = msgspec.field(default=True, name="complete")


class UnknownRecord:
    """A record of a kind that only newer router versions know.

    A record with a `base` is a change. It can be stale and makes other changes
    stale like a change of a known kind, so that routers of all versions agree on
    which changes are stale.
    """

    __slots__ = ("kind", "change_id", "author", "base")

    def __init__(self, header):
        self.kind = header.kind
        self.change_id = header.change_id
        self.author = header.author
        self.base = header.base


class Outcome(Enum):
    """The result of replaying a record."""

    ACCEPTED = auto()
    STALE = auto()
    REFUSED = auto()
    IGNORED = auto()


class _RecordHeader(msgspec.Struct):
    kind: str
    change_id: str = msgspec.field(default="", name="change")
    author: str = ""
    base: int | None = None


RECORD_TYPES = (SetInventory, EditInventory, AddKey, WithdrawKey, ConfigSnapshot)
KINDS = frozenset(type_.__struct_config__.tag for type_ in RECORD_TYPES)
ConfigRecord = SetInventory | EditInventory | AddKey | WithdrawKey | ConfigSnapshot


def encode_record(record):
    """Return the log payload of a record."""
    return msgspec.json.encode(record)


def decode_record(payload):
    """Return the record in `payload`.

    Return an UnknownRecord if its kind is unknown, and None if it is malformed.
    """
    try:
        return msgspec.json.decode(payload, type=ConfigRecord)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return _decode_unknown_record(payload)


def _decode_unknown_record(payload):
    try:
        header = msgspec.json.decode(payload, type=_RecordHeader)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    return None if header.kind in KINDS else UnknownRecord(header)
