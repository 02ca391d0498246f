"""Messages in which routers share routing state; any of them may be lost."""

import msgspec


class PrefixSighting(msgspec.Struct, array_like=True):
    """The prefix digests that an engine had in its cache when it answered."""

    engine_id: str
    digests: list[bytes]


class RoutingUpdate(msgspec.Struct, array_like=True):
    """Routing state that one router sends to another.

    `outstanding_tokens_by_engine` holds, by engine id, the prompt tokens that the
    sender has sent and that await a first token. `sightings` are those that the
    receiver has not been sent before.
    """

    outstanding_tokens_by_engine: dict[str, int] = {}
    sightings: list[PrefixSighting] = []
