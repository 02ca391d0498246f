import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.named_weights import NamedWeights
from mulberryhub.fleet.records import Weights
from mulberryhub.fleet.store import StoreUnavailable
from mulberryhub.node.naming_times import DEPUTY_DELAY_MS, NamingTimesSaver

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
        self.named = NamedWeights(self.clock)
        self.saver = NamingTimesSaver(self.store, self.named, lambda: rank, self.clock)

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


def test_deputy_saves_what_the_first_reader_has_not():
    fixture = Fixture(rank=1)
    fixture.name(2, fixture.clock.now())
    fixture.saver.step()
    assert fixture.store.records == []
    fixture.clock.advance(DEPUTY_DELAY_MS)
    fixture.saver.step()
    assert len(fixture.store.records) == 1


def test_other_routers_do_not_save():
    fixture = Fixture(rank=None)
    fixture.name(2, fixture.clock.now())
    fixture.clock.advance(DEPUTY_DELAY_MS * 10)
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
