"""What is saved of requests that crash upstreams, and how often."""

import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.records import CrashedRun, SavedSuspects, Suspect
from mulberryhub.fleet.state import FleetState
from mulberryhub.fleet.store import StoreUnavailable
from mulberryhub.fleet.suspects import SUSPECT_RETENTION_MS, VERDICT_SAVING_MS
from mulberryhub.node.suspect_saver import MAX_SAVED_SUSPECTS, SuspectSaver

REQUEST, PART = "aa", "bb"


def suspect(fingerprint, crash_count, breadth=0, round=0):
    runs = [CrashedRun(f"u{number}", 1, True) for number in range(crash_count)]
    return Suspect(fingerprint, round, runs, breadth)


class FakeStore:
    def __init__(self):
        self.records = []
        self.is_down = False

    def put_record(self, record):
        if self.is_down:
            raise StoreUnavailable("down")
        self.records.append(record)


class Fixture:
    def __init__(self):
        self.clock = ManualClock()
        self.store = FakeStore()
        self.is_coordinator = True
        self.fleet_state = FleetState(self.clock)
        self.saver = SuspectSaver(
            "n1",
            self.fleet_state.suspects,
            self.store,
            lambda: self.is_coordinator,
            self.clock,
        )

    def restarted(self):
        """Return the fixture of a router that reads the last record."""
        other = Fixture()
        other.fleet_state.apply(self.store.records[-1])
        return other


@pytest.fixture
def fixture():
    return Fixture()


def test_nothing_is_written_without_crashes(fixture):
    # Guards against the price of writes on calm days.
    assert not fixture.saver.step()
    fixture.fleet_state.apply(Suspect(REQUEST, 1))
    assert not fixture.saver.step()
    assert fixture.store.records == []


def test_a_crash_is_saved_once_and_known_after_a_restart(fixture):
    # Guards against crashes that only the routers' memory holds.
    fixture.fleet_state.apply(suspect(REQUEST, 1))
    assert fixture.saver.step()
    assert not fixture.saver.step()
    suspects = fixture.restarted().fleet_state.suspects
    assert suspects.get(REQUEST) == suspect(REQUEST, 1)


def test_parts_are_saved_from_their_second_crash_on(fixture):
    # Guards against a record that is full of the prompts of one crash.
    fixture.fleet_state.apply(suspect(PART, 1, breadth=1))
    assert not fixture.saver.step()
    fixture.fleet_state.apply(suspect(PART, 2, breadth=1))
    assert fixture.saver.step()


def test_served_suspects_are_taken_out(fixture):
    # Guards against sound requests that are suspected after a restart.
    fixture.fleet_state.apply(suspect(REQUEST, 2))
    fixture.saver.step()
    fixture.fleet_state.apply(Suspect(REQUEST, 1))
    assert fixture.saver.step()
    assert fixture.store.records[-1].suspects == []


def test_suspects_with_most_crashes_are_kept(fixture):
    # Guards against bystanders that push out the request that crashes upstreams.
    fixture.fleet_state.apply(suspect(REQUEST, 2))
    for number in range(2 * MAX_SAVED_SUSPECTS):
        fixture.fleet_state.apply(suspect(f"{number:04x}", 1))
    fixture.saver.step()
    saved = fixture.store.records[-1].suspects
    assert len(saved) == MAX_SAVED_SUSPECTS
    assert saved[0].fingerprint == REQUEST


def test_blamed_suspect_stays_until_its_verdict_is_saved(fixture):
    # Guards against a kill between the verdict and its own record.
    for count in (1, 2, 3):
        fixture.fleet_state.apply(suspect(REQUEST, count))
        fixture.clock.advance(1_000)
    assert fixture.fleet_state.suspects.is_quarantined(REQUEST)
    assert fixture.saver.step()
    assert len(fixture.store.records[-1].suspects) == 1
    fixture.clock.advance(VERDICT_SAVING_MS)
    assert fixture.fleet_state.suspects.undecided(1) == []


def test_only_the_coordinator_saves_and_the_next_one_goes_on(fixture):
    # Guards against a write by each of hundreds of routers.
    fixture.is_coordinator = False
    fixture.fleet_state.apply(suspect(REQUEST, 1))
    assert not fixture.saver.step()
    fixture.is_coordinator = True
    assert fixture.saver.step()


def test_what_was_not_saved_is_saved_later(fixture):
    # Guards against a crash that is forgotten as the store was away.
    fixture.fleet_state.apply(suspect(REQUEST, 1))
    fixture.store.is_down = True
    with pytest.raises(StoreUnavailable):
        fixture.saver.step()
    fixture.store.is_down = False
    assert fixture.saver.step()
    fixture.saver.save_again()
    assert fixture.saver.step()


def test_old_records_do_not_count(fixture):
    # Guards against suspicion without an end.
    now = fixture.clock.wall()
    record = SavedSuspects("n1", now - SUSPECT_RETENTION_MS, [suspect(REQUEST, 2)])
    fixture.fleet_state.apply(record)
    assert fixture.fleet_state.suspects.get(REQUEST) == Suspect(REQUEST)
