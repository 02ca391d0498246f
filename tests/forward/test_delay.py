"""Plays a load of more than upstreams can read, and checks what callers get."""

from mulberryhub.forward.delay import is_too_late, stream_patience
from mulberryhub.forward.job import Job
from tests.forward.fakes import make_call, make_route, make_service

READ_TIME = 100  # ms that one request takes an upstream
INTERVAL = 60  # ms between requests


def make_job(priority=0):
    route = make_route(priority=priority, target_gap=300)
    return Job(make_call(), route, make_service(), None, 4_000)


def test_patience_is_the_longest_of_what_clients_wait_for():
    assert stream_patience(make_route(target_gap=100)) == 2_000
    assert stream_patience(make_route(target_gap=300)) == 2_400
    assert stream_patience(make_route(target_latency=900)) == 3_600


def test_urgent_requests_are_refused_last():
    delays = [
        next(
            delay for delay in range(0, 5_000, 10) if is_too_late(make_job(rank), delay)
        )
        for rank in range(4)
    ]
    assert delays == sorted(delays, reverse=True)
    assert delays[0] < stream_patience(make_route())


def test_a_queue_holds_back_what_is_less_urgent_so_that_urgent_requests_are_in_time():
    """Every third request is urgent and short; together they are more than fits."""
    times = {0: [], 1: []}
    free_at = 0
    for index in range(600):
        now = index * INTERVAL
        rank = 0 if index % 3 == 0 else 1
        delay = max(0, free_at - now)
        if is_too_late(make_job(rank), delay):
            continue
        free_at = max(free_at, now) + (10 if rank == 0 else READ_TIME)
        times[rank].append(free_at - now)
    assert len(times[0]) == 200
    target = make_route().target_latency
    assert max(times[0]) <= 1.6 * target
    assert len(times[1]) >= 0.8 * 400 * INTERVAL / READ_TIME


def play(refuses):
    """Return how many requests of 300 get their first event in time."""
    job = make_job()
    free_at = 0
    served = 0
    for index in range(300):
        now = index * INTERVAL
        delay = max(0, free_at - now)
        if refuses and is_too_late(job, delay):
            continue
        free_at = max(free_at, now) + READ_TIME
        served += free_at - now <= stream_patience(job.route)
    return served


def test_early_refusals_leave_time_for_those_that_can_be_served():
    assert play(refuses=True) > 2 * play(refuses=False)
    assert play(refuses=True) >= 0.9 * 300 * INTERVAL / READ_TIME
