"""Values that other programs send, with the range in which they are usable.

msgspec rejects what is out of range when it decodes. A float holds each whole number up
to MAX_NUMBER, and JSON and MessagePack can encode it.
"""

from typing import Annotated

from msgspec import Meta

MAX_NUMBER = 2**53 - 1
MAX_DIGIT_COUNT = 16  # of MAX_NUMBER
MAX_TEXT_LENGTH = 4_096  # characters

Count = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
Number = Annotated[int, Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Amount = Annotated[float, Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]

# No control characters, and no space at either end: it fits in a header.
_TEXT_PATTERN = r"\A(?:[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?)?\Z"
_HOST_LABEL = r"[A-Za-z0-9_-]{1,63}"
_PORT_RANGE = (
    r"(?:[1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}"
    r"|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])"
)
_ADDRESS_PATTERN = rf"\A{_HOST_LABEL}(?:\.{_HOST_LABEL})*:{_PORT_RANGE}\Z"

Text = Annotated[str, Meta(max_length=MAX_TEXT_LENGTH, pattern=_TEXT_PATTERN)]
Address = Annotated[
    str, Meta(max_length=MAX_TEXT_LENGTH, pattern=_ADDRESS_PATTERN)
]  # host:port
Name = Annotated[str, Meta(max_length=MAX_TEXT_LENGTH)]  # for comparison only
Fingerprint = Annotated[
    str, Meta(max_length=MAX_TEXT_LENGTH, pattern=r"\A[0-9a-f]+\Z")
]  # hexadecimal


def parse_count(value):
    """Return the Count that the bytes `value` spell in digits, or None."""
    if not value.isdigit() or len(value) > MAX_DIGIT_COUNT:
        return None
    count = int(value)
    return count if count <= MAX_NUMBER else None
