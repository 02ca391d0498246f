"""Messages of other routers with odd records, as those of an earlier build pass on."""

from math import nan

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from mulberryhub.fleet.channel import (
    LENGTH_BYTES,
    Channel,
    ChannelError,
    Report,
    Update,
    encode,
)
from mulberryhub.fleet.records import (
    CrashedRun,
    Member,
    RateLimit,
    Suspect,
    Usage,
    Weights,
)
from tests.fleet.test_state import make_upstream

NESTING_DEPTH = 20_000
EXAMPLE_COUNT = 400
GOOD_UPSTREAMS = [make_upstream("u1", 1), make_upstream("u3", 3)]


def make_odd_upstream(**fields):
    return msgspec.structs.replace(make_upstream("u2", 2), **fields)


ODD_RECORDS_BY_NAME = {
    "port_above_range": make_odd_upstream(address="127.0.0.1:99999"),
    "no_port": make_odd_upstream(address="127.0.0.1"),
    "start_that_no_float_holds": make_odd_upstream(started=2**63),
    "slots_below_zero": make_odd_upstream(slots=-1),
    "weights_out_of_range": Weights("m1", 2**63),
    "weights_below_zero": Weights("m1", -1),
    "member_without_port": Member("r1", "127.0.0.1", "a"),
    "member_of_endless_strength": Member("r1", "127.0.0.1:80", "a", 1, 2**63),
    "rate_not_a_number": RateLimit("u1", 1, 1, nan),
    "line_break_in_id": make_upstream("u\n2", 2),
}


class FakeSocket:
    """A socket from which `data` is received; it serves as its own descriptor."""

    def __init__(self, data):
        self.fd = self
        self._data = data

    def recv(self, count):
        data, self._data = self._data[:count], self._data[count:]
        return data


def receive(payload):
    data = len(payload).to_bytes(LENGTH_BYTES) + payload
    return Channel(FakeSocket(data)).receive()


def receive_message(message):
    return Channel(FakeSocket(encode(message))).receive()


def test_good_records_are_received():
    assert receive_message(Update(records=GOOD_UPSTREAMS)).records == GOOD_UPSTREAMS


@pytest.mark.parametrize("name", ODD_RECORDS_BY_NAME)
def test_odd_record_does_not_hide_others_of_the_update(name):
    first, last = GOOD_UPSTREAMS
    update = Update(
        records=[first, ODD_RECORDS_BY_NAME[name], last],
        position_by_topic={"upstreams": 4},
        upstream_ids=["u1", "u3"],
        is_current=True,
        use=Usage(work_by_upstream={"u1": 5.0}),
        coordinator="r0",
    )
    received = receive_message(update)
    update.records = GOOD_UPSTREAMS
    assert received == update


def test_odd_observation_does_not_hide_others_of_the_report():
    good = Suspect("ab", 1, [CrashedRun("u1", 1, True)])
    odd = Suspect("ab", 2**63, [CrashedRun("u1", 1, True)])
    received = receive_message(Report(3, Usage(), observations=[odd, good]))
    assert received == Report(3, Usage(), observations=[good])


@pytest.mark.parametrize(
    "payload",
    [
        b"\x91" * NESTING_DEPTH,
        b"\x82\xa4type\xa4News\xa5extra" + b"\x91" * NESTING_DEPTH + b"\x00",
    ],
    ids=["at_top", "in_unknown_field"],
)
def test_deeply_nested_message_is_invalid(payload):
    with pytest.raises(ChannelError):
        receive(payload)


def test_deeply_nested_record_ends_the_connection_only():
    record = msgspec.msgpack.encode({"type": "Upstream"})[:-9] + b"\xa1x"
    payload = b"\x82\xa4type\xa4News\xa7records\x91" + record + b"\x91" * NESTING_DEPTH
    with pytest.raises(ChannelError):
        receive(payload)


@settings(max_examples=EXAMPLE_COUNT, deadline=None)
@given(st.binary(max_size=100))
def test_any_bytes_give_a_message_or_a_channel_error(payload):
    try:
        receive(payload)
    except ChannelError:
        pass
