"""Types of the platform's store interface; platform adapters implement it."""

import msgspec


class StoreUnavailable(Exception):
    """The store gave no usable answer; a write may still have taken effect."""


class HistoryLost(Exception):
    """Records after the requested position are deleted; `first` is the oldest left."""

    def __init__(self, first):
        super().__init__(f"records before offset {first} have been deleted")
        self.first = first


class Entry(msgspec.Struct, frozen=True):
    """One record of a keyed topic; a value of None removes the key."""

    key: str
    offset: int
    value: bytes | None


class Batch(msgspec.Struct, frozen=True):
    """Entries in offset order, and the offset after the last one of the topic."""

    entries: list[Entry]
    end: int


class Listing(msgspec.Struct, frozen=True):
    """The newest entry of each key, and the topic's end before the listing began."""

    entries: list[Entry]
    end: int
