"""The interface of the platform's store, as routers use it; adapters implement it."""

import msgspec


class StoreUnavailable(Exception):
    """The store gave no answer that can be used; a write may have taken effect."""


class HistoryLost(Exception):
    """Records after the wanted position have been deleted; `first` is what is left."""

    def __init__(self, first):
        super().__init__(f"records before offset {first} have been deleted")
        self.first = first


class Entry(msgspec.Struct, frozen=True):
    """One record of a topic with keys; a value of None removes the key."""

    key: str
    offset: int
    value: bytes | None


class Batch(msgspec.Struct, frozen=True):
    """Records in the order of offsets, and the offset after the last of the topic."""

    entries: list[Entry]
    end: int


class Listing(msgspec.Struct, frozen=True):
    """The newest record of each key, and the topic's end before the listing began."""

    entries: list[Entry]
    end: int
