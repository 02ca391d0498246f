from math import inf

import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.named_weights import MAX_VERSION_COUNT, NamedWeights
from mulberryhub.fleet.records import NamingTimes, Weights

MODEL = "m"
ROUTER = "r1"
STEP_MS = 2_400


class Fixture:
    def __init__(self):
        self.clock = ManualClock(now=100_000)
        self.named = self.start(ROUTER)

    def apply(self, version, absent_for=None, **ages):
        absent_at = None if absent_for is None else self.clock.now() - absent_for
        ages_by_version = {int(name[1:]): age for name, age in ages.items()}
        return self.named.apply(Weights(MODEL, version, ages_by_version), absent_at)

    def age(self, version):
        return self.named.time_since_superseded(MODEL, version)

    def start(self, router):
        return NamedWeights(self.clock, router, "a")

    def save(self):
        """Return the times that this router saves now."""
        (times,) = self.named.unstored_times()
        self.named.record_stored(times)
        return times

    def restart(self, router, times):
        """Replace the router by a new process that reads what was saved."""
        self.named = self.start(router)
        self.named.apply(Weights(MODEL, 2), None)
        self.named.apply_times(times)


@pytest.fixture
def fixture():
    return Fixture()


def test_first_version_counts_from_the_last_time_without_it(fixture):
    fixture.apply(2, absent_for=700)
    fixture.clock.advance(1_000)
    assert fixture.age(1) == 1_700
    assert fixture.age(2) is None


def test_version_from_before_the_start_has_an_unknown_age(fixture):
    fixture.apply(2)
    fixture.clock.advance(1_000)
    assert fixture.age(1) == inf
    assert fixture.named.time_known_superseded(MODEL, 1) == 1_000


@pytest.mark.parametrize("is_name_first", [True, False])
def test_age_is_unknown_after_a_start_whatever_is_read_first(fixture, is_name_first):
    times = NamingTimes(MODEL, {2: fixture.clock.wall() - 60_000})
    if is_name_first:
        fixture.apply(3)
    fixture.named.apply_times(times)
    fixture.clock.advance(50)
    fixture.apply(3)
    assert fixture.age(2) == inf


def test_unknown_age_of_one_version_is_not_hidden_by_a_later_one(fixture):
    fixture.apply(2)
    fixture.apply(3, absent_for=100)
    assert fixture.age(1) == inf
    assert fixture.age(2) == 100


def test_age_is_learned_from_a_router_that_knows_it(fixture):
    fixture.apply(2)
    assert fixture.apply(2, v2=4_000)
    fixture.clock.advance(500)
    assert fixture.age(1) == 4_500


def test_versions_between_are_learned(fixture):
    fixture.apply(4)
    fixture.apply(4, v2=9_000, v3=5_000, v4=1_000)
    assert [fixture.age(version) for version in (1, 2, 3)] == [9_000, 5_000, 1_000]


def test_known_age_is_not_replaced(fixture):
    fixture.apply(2, absent_for=300)
    assert not fixture.apply(2, v2=10)
    assert fixture.age(1) == 300


def test_older_bound_counts_for_news_of_another_router(fixture):
    fixture.apply(2, absent_for=5_000, v2=10)
    assert fixture.age(1) == 5_000


def test_ages_are_sent_as_of_now(fixture):
    fixture.apply(2, absent_for=300)
    fixture.clock.advance(200)
    assert fixture.named.with_ages(Weights(MODEL, 2)).ages == {2: 500}
    assert fixture.named.records() == [Weights(MODEL, 2, {2: 500})]


def test_unknown_ages_are_not_sent(fixture):
    fixture.apply(2)
    assert fixture.named.records() == [Weights(MODEL, 2)]


def test_saved_times_are_not_saved_again(fixture):
    fixture.apply(2, absent_for=300)
    times = fixture.save()
    assert fixture.named.unstored_times() == []
    fixture.restart(ROUTER, times)
    assert fixture.named.unstored_times() == []


@pytest.mark.parametrize("step_while_saved", [-STEP_MS, 0, STEP_MS])
@pytest.mark.parametrize("step_at_start", [-STEP_MS, 0, STEP_MS])
def test_step_of_the_wall_clock_does_not_change_the_age_after_a_restart(
    fixture, step_while_saved, step_at_start
):
    fixture.apply(2, absent_for=300)
    fixture.clock.step_wall(step_while_saved)
    times = fixture.save()
    fixture.clock.step_wall(step_at_start - step_while_saved)
    fixture.clock.advance(5_000)
    fixture.restart(ROUTER, times)
    assert fixture.age(1) == 5_300
    assert fixture.named.records() == [Weights(MODEL, 2, {2: 5_300})]


def test_times_may_be_read_before_the_name_itself(fixture):
    fixture.apply(2, absent_for=300)
    times = fixture.save()
    fixture.clock.advance(5_000)
    fixture.named = fixture.start(ROUTER)
    fixture.named.apply_times(times)
    assert fixture.named.newest(MODEL) == 2
    fixture.apply(2)
    assert fixture.age(1) == 5_300


def test_times_that_another_vm_saved_do_not_tell_an_age(fixture):
    fixture.apply(2, absent_for=300)
    times = fixture.save()
    fixture.clock.advance(5_000)
    fixture.restart("r2", times)
    assert fixture.age(1) == inf
    assert fixture.named.longest_time_superseded(MODEL, 1) == 5_300
    assert fixture.named.records() == [Weights(MODEL, 2)]


@pytest.mark.parametrize(
    ("boot_id", "uptime"),
    [
        pytest.param("later boot", 106_000, id="clock fits by chance"),
        pytest.param("boot", 900, id="clock began anew"),
        pytest.param("boot", 900_000, id="clock of a snapshot"),
        pytest.param("", 105_000, id="boot is unknown"),
    ],
)
def test_age_is_unknown_after_a_loss_of_power(fixture, boot_id, uptime):
    fixture.apply(2, absent_for=300)
    times = fixture.save()
    fixture.clock.advance(5_000)
    fixture.clock.reboot(boot_id, uptime)
    fixture.restart(ROUTER, times)
    assert fixture.age(1) == inf
    assert fixture.named.longest_time_superseded(MODEL, 1) == 5_300


def test_time_ahead_of_the_wall_clock_counts_as_now(fixture):
    fixture.named.apply_times(NamingTimes(MODEL, {2: fixture.clock.wall() + 5_000}))
    assert fixture.age(1) == inf
    assert fixture.named.longest_time_superseded(MODEL, 1) == 0


def test_earliest_time_of_all_wall_clocks_counts(fixture):
    wall = fixture.clock.wall()
    fixture.named.apply_times(NamingTimes(MODEL, {2: wall - 4_000}, "r2"))
    fixture.named.apply_times(NamingTimes(MODEL, {2: wall - 9_000}, "r3"))
    fixture.named.apply_times(NamingTimes(MODEL, {2: wall - 1_000}, "r4"))
    assert fixture.named.longest_time_superseded(MODEL, 1) == 9_000


def test_age_that_a_router_tells_replaces_one_of_a_wall_clock(fixture):
    fixture.named.apply_times(NamingTimes(MODEL, {2: fixture.clock.wall()}))
    fixture.apply(2)
    assert fixture.named.records() == [Weights(MODEL, 2)]
    assert fixture.apply(2, v2=11_000)
    assert fixture.age(1) == 11_000
    fixture.named.apply_times(NamingTimes(MODEL, {2: fixture.clock.wall()}))
    assert fixture.age(1) == 11_000


def test_each_learned_time_is_a_new_revision(fixture):
    fixture.apply(2)
    named = fixture.named.revision
    fixture.apply(2, v2=4_000)
    assert fixture.named.revision > named
    told = fixture.named.revision
    fixture.apply(2, v2=4_000)
    assert fixture.named.revision == told


def test_only_the_newest_versions_are_kept(fixture):
    for version in range(1, MAX_VERSION_COUNT * 2):
        fixture.apply(version, absent_for=0)
    assert len(fixture.named.records()[0].ages) == MAX_VERSION_COUNT
