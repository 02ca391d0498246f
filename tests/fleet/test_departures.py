"""Which incarnation of an upstream leaves, though the clock of its VM was stepped."""

from itertools import permutations

import msgspec
import pytest

from mulberryhub.fleet.departures import Departures
from mulberryhub.fleet.records import Departure
from tests.forward.fakes import make_upstream

FIRST_STARTED = 500
WRONG_CLOCKS = pytest.mark.parametrize(
    "later_started", [1, 900], ids=["behind at the restart", "ahead at the restart"]
)


def make_departure(started, offset):
    return Departure("u1", started, "n1", offset)


def departures_after(told):
    departures = Departures()
    for departure in told:
        departures.apply(departure)
    return departures


@WRONG_CLOCKS
def test_upstream_that_starts_again_after_its_departure_is_used(later_started):
    departures = departures_after([make_departure(FIRST_STARTED, 1)])
    assert departures.has(make_upstream("u1", 1, started=FIRST_STARTED))
    assert not departures.has(make_upstream("u1", 2, started=later_started))


@WRONG_CLOCKS
def test_departure_of_the_later_incarnation_counts(later_started):
    told = [
        make_departure(FIRST_STARTED, 1),
        make_departure(FIRST_STARTED, 2),
        make_departure(later_started, 3),
    ]
    for order in permutations(told):
        departures = departures_after(order)
        assert departures.has(make_upstream("u1", 3, started=later_started))
        assert departures.has(make_upstream("u1", 5, started=later_started))
        assert departures.has(make_upstream("u1", 2, started=FIRST_STARTED))


class EarlierDeparture(msgspec.Struct, frozen=True, tag="Departure"):
    id: str
    started: int
    source: str


def test_departures_are_read_by_earlier_builds_and_from_them():
    data = msgspec.msgpack.encode(make_departure(5, 1))
    earlier = msgspec.msgpack.decode(data, type=EarlierDeparture)
    assert earlier == EarlierDeparture("u1", 5, "n1")
    read = msgspec.msgpack.decode(msgspec.msgpack.encode(earlier), type=Departure)
    departures = departures_after([read])
    assert departures.has(make_upstream("u1", 9, started=5))
    assert departures.has(make_upstream("u1", 9, started=4))
    assert not departures.has(make_upstream("u1", 9, started=6))
