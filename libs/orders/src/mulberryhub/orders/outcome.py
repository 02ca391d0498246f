"""The outcome of an at-most-once call, and the error for a call that was not sent."""

import msgspec


class CallOutcome(msgspec.Struct, frozen=True):
    """The upstream's answer; `replayed` is set where it was stored by an earlier call.

    `status` is the HTTP status.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    replayed: bool = False


class NotSent(Exception):
    """Raised where no byte of the call was sent to an upstream."""
