"""Types of the platform's store interface; platform adapters implement it.

A store that comes back from an older copy loses records and gives out their offsets
again. Each time, its era rises by one. A position is an offset together with the era in
which it was given out, as one number: positions order records by era, then offset.
"""

import msgspec

OFFSET_BITS = 38
MAX_ERA = 2**15 - 1  # positions stay below 2**53, and so exact in JSON


class StoreUnavailable(Exception):
    """The store gave no usable answer; a write may still have taken effect."""


class HistoryLost(Exception):
    """Records after the requested position are deleted; `first` is the oldest left."""

    def __init__(self, first):
        super().__init__(f"records before offset {first} have been deleted")
        self.first = first


class StoreReverted(HistoryLost):
    """The store came back from an older copy since the position was given out.

    `first` is the position of the oldest record in its present era.
    """


def position_of(era, offset):
    """Return the position of an offset that was given out in `era`."""
    return (era << OFFSET_BITS) + offset


def era_of(position):
    """Return the era of a position, -1 for an unknown position."""
    return position >> OFFSET_BITS


def offset_of(position):
    """Return the offset of a position within its era."""
    return position - (era_of(position) << OFFSET_BITS)


class Entry(msgspec.Struct, frozen=True):
    """One record of a keyed topic; a value of None removes the key.

    `offset` is its position, which includes the era.
    """

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
