"""What became of a call, and the error for one that was never sent."""

import msgspec


class Outcome(msgspec.Struct, frozen=True):
    """The upstream's answer; `replayed` where it was kept from an earlier call."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    replayed: bool = False


class NotSent(Exception):
    """Not one byte of the call went to an upstream."""
