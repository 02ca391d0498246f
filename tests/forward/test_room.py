from mulberryhub.base.clock import ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.fleet.records import Usage
from mulberryhub.forward.admission_rates import AdmissionRate
from mulberryhub.forward.job import Job
from mulberryhub.forward.loads import Loads
from mulberryhub.forward.room import capacity
from mulberryhub.forward.slot_times import PRIOR_SLOT_TIME_MS
from mulberryhub.forward.work import Work
from tests.forward.fakes import make_admission, make_route, make_service, make_upstream

SLOTS = 12
UPSTREAM = make_upstream("u1", slots=SLOTS)
SERVICE = make_service(slots=SLOTS)


class Fixture:
    def __init__(self):
        self.clock = ManualClock(now=1_000)
        self.others = Usage(routers=0)
        self.loads = Loads(lambda: self.others, self.clock)
        self.room, self.admission = make_admission(self.loads, self.clock, Counters())

    def send(self, count, is_urgent=False):
        for _ in range(count):
            self.loads.record_sent("u1", Work(0, 0, False, True, is_urgent))


def test_wait_is_zero_while_slots_are_free_and_grows_with_the_queue():
    """Guards against expected delays that ignore the slots of an upstream."""
    fixture = Fixture()
    fixture.send(SLOTS - 1)
    assert fixture.room.wait(UPSTREAM, SERVICE) == 0
    fixture.others.requests_by_upstream["u1"] = SLOTS
    fixture.clock.advance(100)
    assert fixture.room.wait(UPSTREAM, SERVICE) == PRIOR_SLOT_TIME_MS


def test_services_without_configured_slots_have_no_wait():
    """Guards against changes where the configuration has no slots."""
    fixture = Fixture()
    fixture.send(100)
    service = make_service(slots=0)
    assert fixture.room.adjust(UPSTREAM, service, 7) == 7
    assert not fixture.room.is_full(UPSTREAM, service)


def test_urgent_requests_do_not_wait_for_the_queue_of_others():
    """Guards against rejecting urgent requests that the upstream would run next."""
    fixture = Fixture()
    fixture.send(3 * SLOTS)
    wait = fixture.room.wait(UPSTREAM, SERVICE)
    assert fixture.room.urgent_delay(UPSTREAM, SERVICE, wait) < wait / 10


def test_upstream_that_answers_full_is_full_until_its_queue_is_worked_off():
    """Guards against more requests to an upstream that is full of unknown ones."""
    fixture = Fixture()
    fixture.room.record_full(UPSTREAM)
    assert fixture.room.is_full(UPSTREAM, SERVICE)
    restarted = make_upstream("u1", slots=SLOTS, started=2)
    fixture.clock.advance(PRIOR_SLOT_TIME_MS)
    assert not fixture.room.is_full(UPSTREAM, SERVICE)
    assert fixture.room.wait(UPSTREAM, SERVICE) > 0
    assert fixture.room.wait(restarted, SERVICE) == 0


def test_counts_of_all_routers_make_an_upstream_full():
    """Guards against requests that an upstream can only reject."""
    fixture = Fixture()
    fixture.others.requests_by_upstream["u1"] = capacity(SLOTS)
    assert fixture.room.is_full(UPSTREAM, SERVICE)


def make_job(priority):
    return Job(None, make_route(priority=priority), SERVICE, None, 0)


def test_limit_rejects_less_urgent_requests_first():
    """Guards against urgent requests that are rejected while others are served."""
    rate = AdmissionRate()
    for now in range(0, 2_000, 100):
        for priority in (0, 2):
            rate.record_arrival(make_job(priority), now)
            rate.record_admitted(make_job(priority), now)
    rate.record_late(1_900, 2_000, 300)
    assert rate.admitted_share(0, 2_000) == 1
    assert rate.admitted_share(2, 2_000) < 1


def test_limit_is_lifted_as_answers_are_in_time():
    """Guards against requests that are rejected long after the overload."""
    rate = AdmissionRate()
    for _ in range(10):
        rate.record_arrival(make_job(0), 0)
        rate.record_admitted(make_job(0), 0)
    rate.record_late(0, 0, 300)
    assert rate.limit is not None
    assert any(rate.record_in_time(now) for now in range(0, 10_000, 50))
    assert rate.admitted_share(0, 10_000) == 1


def test_few_requests_are_not_limited():
    """Guards against limits that follow single answers which are late by chance."""
    rate = AdmissionRate()
    for _ in range(3):
        rate.record_arrival(make_job(0), 0)
        rate.record_admitted(make_job(0), 0)
    rate.record_late(0, 0, 300)
    assert rate.limit is None
