import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.named_weights import NamedWeights
from mulberryhub.fleet.records import NamingTimes, Weights
from mulberryhub.fleet.store import StoreUnavailable
from mulberryhub.node.naming_times import NamingTimesSaver

MODEL = "m"


class FakeStore:
    def __init__(self):
        self.records = []
        self.is_away = False

    def put_record(self, record):
        if self.is_away:
            raise StoreUnavailable("away")
        self.records.append(record)


class Fixture:
    def __init__(self, rank):
        self.clock = ManualClock()
        self.store = FakeStore()
        self.named = NamedWeights(self.clock, "r1", "a")
        self.saver = NamingTimesSaver(self.store, self.named, lambda: rank)

    def name(self, version, absent_at):
        self.named.apply(Weights(MODEL, version), absent_at)


def test_first_reader_saves_each_time_once():
    fixture = Fixture(rank=0)
    fixture.name(2, fixture.clock.now())
    for _ in range(3):
        fixture.saver.step()
    assert len(fixture.store.records) == 1
    fixture.name(3, fixture.clock.now())
    fixture.saver.step()
    assert set(fixture.store.records[-1].named_at_by_version) == {2, 3}


def test_unknown_time_is_not_saved():
    fixture = Fixture(rank=0)
    fixture.name(2, None)
    fixture.saver.step()
    assert fixture.store.records == []


@pytest.mark.parametrize("rank", [0, 1])
def test_each_reader_saves_the_times_of_its_own_clock(rank):
    fixture = Fixture(rank)
    fixture.name(2, fixture.clock.now())
    fixture.saver.step()
    (times,) = fixture.store.records
    assert (times.router, times.data_centre) == ("r1", "a")
    assert times.boot_id == fixture.clock.boot_id()
    assert times.uptime_by_version == {2: fixture.clock.now()}


def test_times_that_another_router_saved_do_not_keep_a_reader_from_saving():
    fixture = Fixture(rank=1)
    fixture.name(2, fixture.clock.now())
    fixture.named.apply_times(NamingTimes(MODEL, {2: fixture.clock.wall()}, "r2", "b"))
    fixture.saver.step()
    assert len(fixture.store.records) == 1


def test_other_routers_do_not_save():
    fixture = Fixture(rank=None)
    fixture.name(2, fixture.clock.now())
    fixture.clock.advance(60_000)
    fixture.saver.step()
    assert fixture.store.records == []


def test_time_is_saved_once_the_store_is_back():
    fixture = Fixture(rank=0)
    fixture.name(2, fixture.clock.now())
    fixture.store.is_away = True
    with pytest.raises(StoreUnavailable):
        fixture.saver.step()
    fixture.store.is_away = False
    fixture.saver.step()
    assert len(fixture.store.records) == 1
