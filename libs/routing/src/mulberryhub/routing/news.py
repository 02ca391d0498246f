"""What routers tell one another about engines; any of it may be lost."""

import msgspec


class Sighting(msgspec.Struct, array_like=True):
    """An engine that held the prefixes with these digests when it answered."""

    engine_id: str
    digests: list[bytes]


class RoutingNews(msgspec.Struct, array_like=True):
    """Prompt tokens that await a first token, by engine, and new sightings."""

    outstanding_by_engine: dict[str, int] = {}
    sightings: list[Sighting] = []
