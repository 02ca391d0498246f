"""Records of upstreams that routers of different builds exchange."""

import msgspec

from mulberryhub.fleet.records import Record, Upstream, UpstreamState


class EarlierUpstream(msgspec.Struct, frozen=True, tag="Upstream"):
    """The record as builds without software versions have it."""

    id: str
    service: str
    address: str
    data_centre: str
    state: UpstreamState
    offset: int
    started: int = 0
    slots: int = 0
    versions_by_model: dict[str, int] = {}


FIELDS = ("u1", "s", "a:1", "d", UpstreamState.READY, 7, 1_000, 8, {"m": 2})


def test_earlier_builds_read_records_with_a_software_version():
    record = msgspec.msgpack.encode(Upstream(*FIELDS, software_version="4.1"))
    read = msgspec.msgpack.decode(record, type=EarlierUpstream)
    assert read == EarlierUpstream(*FIELDS)


def test_software_version_is_unknown_in_records_of_earlier_builds():
    record = msgspec.msgpack.encode(EarlierUpstream(*FIELDS))
    assert msgspec.msgpack.decode(record, type=Record) == Upstream(*FIELDS)
