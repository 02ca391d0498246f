"""Simulates overload of an upstream and checks which requests are served in time."""

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.records import Usage
from mulberryhub.forward.delay import event_timeout, is_too_late
from mulberryhub.forward.job import Job
from mulberryhub.forward.loads import Loads
from mulberryhub.forward.work import PREFILL_TOKENS_PER_MS, estimate_work
from tests.forward.fakes import make_call, make_route, make_service, make_upstream

PREFILL_TIME_MS = 100  # that one request takes at an upstream
REQUEST_INTERVAL_MS = 60


def make_job(priority=0):
    route = make_route(priority=priority, target_gap=300)
    return Job(make_call(), route, make_service(), None, 4_000)


def test_event_timeout_is_the_longest_of_its_bounds():
    assert event_timeout(make_route(target_gap=100)) == 2_000
    assert event_timeout(make_route(target_gap=300)) == 2_400
    assert event_timeout(make_route(target_latency=900)) == 3_600


def test_urgent_requests_are_refused_last():
    delays = [
        next(
            delay
            for delay in range(0, 5_000, 10)
            if is_too_late(make_job(priority), delay)
        )
        for priority in range(4)
    ]
    assert delays == sorted(delays, reverse=True)
    assert delays[0] < event_timeout(make_route())


def test_urgent_requests_are_in_time_as_others_are_refused_early():
    """Every third request is urgent and short; the total exceeds the capacity."""
    times = {0: [], 1: []}
    free_at = 0
    for index in range(600):
        now = index * REQUEST_INTERVAL_MS
        priority = 0 if index % 3 == 0 else 1
        delay = max(0, free_at - now)
        if is_too_late(make_job(priority), delay):
            continue
        free_at = max(free_at, now) + (10 if priority == 0 else PREFILL_TIME_MS)
        times[priority].append(free_at - now)
    assert len(times[0]) == 200
    target = make_route().target_latency
    assert max(times[0]) <= 1.6 * target
    assert len(times[1]) >= 0.8 * 400 * REQUEST_INTERVAL_MS / PREFILL_TIME_MS


def count_served_in_time(refuses_late_requests):
    """Return how many of 300 requests get their first event in time."""
    job = make_job()
    free_at = 0
    served = 0
    for index in range(300):
        now = index * REQUEST_INTERVAL_MS
        delay = max(0, free_at - now)
        if refuses_late_requests and is_too_late(job, delay):
            continue
        free_at = max(free_at, now) + PREFILL_TIME_MS
        served += free_at - now <= event_timeout(job.route)
    return served


def test_early_refusals_leave_time_for_other_requests():
    assert count_served_in_time(refuses_late_requests=True) > 2 * count_served_in_time(
        refuses_late_requests=False
    )
    assert (
        count_served_in_time(refuses_late_requests=True)
        >= 0.9 * 300 * REQUEST_INTERVAL_MS / PREFILL_TIME_MS
    )


def test_requests_that_begin_in_time_are_not_refused_beside_running_answers():
    # Guards against refusals at upstreams whose delay is overrated.
    clock = ManualClock()
    loads = Loads(Usage, clock)
    service = make_service()
    call = make_call()
    tokens = call.prompt_tokens + call.output_tokens
    work = estimate_work(call, service, make_upstream("u1", 1), False)
    for _ in range(service.kv_capacity // tokens):
        loads.record_sent("u1", work)
        loads.record_answering("u1", work)
    waiting_prompts = 5
    for _ in range(waiting_prompts):
        loads.record_sent("u1", work)
    delay = waiting_prompts * call.prompt_tokens / PREFILL_TOKENS_PER_MS
    assert delay < 1.3 * make_route().target_latency
    assert not is_too_late(make_job(priority=1), loads.work("u1"))
