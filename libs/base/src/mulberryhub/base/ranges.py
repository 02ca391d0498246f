"""Types of values that other programs send, with the range in which they are usable.

msgspec rejects what is out of range when it decodes. A float holds each whole number up
to MAX_NUMBER, and JSON and MessagePack can encode it.
"""

from typing import Annotated

from msgspec import Meta

MAX_NUMBER = 2**53 - 1
MAX_TEXT_LENGTH = 4_096  # characters

Count = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
Number = Annotated[int, Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Amount = Annotated[float, Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
