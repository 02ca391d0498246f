import threading
from collections import deque
from concurrent.futures import ThreadPoolExecutor

import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.records import RequestKind
from mulberryhub.forward.call import Attempt
from mulberryhub.forward.job import Job
from mulberryhub.forward.relay import (
    MAX_BUFFERED_ANSWER_BYTES,
    MAX_INCOMPLETE_EVENT_BYTES,
    MAX_TOTAL_BUFFERED_BYTES,
    Relay,
)
from mulberryhub.http.messages import (
    Headers,
    ResponseBroken,
    ResponseHead,
    ResponseTimeout,
)
from tests.forward.fakes import make_call, make_route, make_service, make_upstream

PIECE = b"x" * 65_536


class FakeExchange:
    """An answer whose body is `pieces`; an exception among them is raised."""

    def __init__(self, pieces, clock, pause=0):
        self.head = ResponseHead(200, Headers())
        self.attempt = Attempt(make_upstream("u"), None, 0)
        self.most_read = 0
        self._pieces = deque(pieces)
        self._clock = clock
        self._pause = pause

    def read(self, timeout):
        self._clock.advance(self._pause)
        if not self._pieces:
            return None
        piece = self._pieces.popleft()
        if isinstance(piece, Exception):
            raise piece
        return piece

    def finish(self):
        pass

    def cancel(self):
        pass


class FakeClient:
    def __init__(self):
        self.length = None
        self.is_started = False
        self.body = b""

    def start_response(self, status, headers, length):
        self.is_started = True
        self.length = length

    def write(self, data):
        self.body += data

    def finish_response(self):
        return True


class FakeAttemptRunner:
    def __init__(self, exchanges):
        self._exchanges = deque(exchanges)
        self.completed_jobs = []

    def run(self, job):
        job.runs += 1
        return self._exchanges.popleft()

    def record_first_event(self, job, exchange):
        pass

    def record_broken_answer(self, job, exchange, error):
        return job.is_resumable_stream or not job.is_answer_started

    def record_completed(self, job, exchange):
        self.completed_jobs.append(job)


def relay(*exchanges, clock=None, kind=RequestKind.IDEMPOTENT):
    clock = clock or ManualClock()
    attempt_runner, client = FakeAttemptRunner(exchanges), FakeClient()
    job = Job(make_call(), make_route(kind), make_service(), None, 4_000)
    Relay(attempt_runner, None, clock).run(job, client)
    return attempt_runner, client


def test_short_answer_is_buffered_before_it_is_sent():
    clock = ManualClock()
    broken = FakeExchange([b"half", ResponseBroken("reset")], clock)
    _, client = relay(broken, FakeExchange([b"whole"], clock), clock=clock)
    assert (client.body, client.length) == (b"whole", 5)


def test_long_answer_without_length_is_streamed():
    pieces = [PIECE] * (2 * MAX_BUFFERED_ANSWER_BYTES // len(PIECE))
    attempt_runner, client = relay(FakeExchange(pieces, ManualClock()))
    assert client.length is None
    assert client.body == b"".join(pieces)
    assert len(attempt_runner.completed_jobs) == 1


def test_event_times_leave_out_pauses_of_the_client():
    """Guards against upstreams that count as slow as their clients read slowly."""
    clock = ManualClock()

    class SlowClient(FakeClient):
        def write(self, data):
            clock.advance(300)

    events = [b"id: %d\ndata: x\n\n" % id for id in range(20)]
    for client, pause in ((FakeClient(), 10), (SlowClient(), None)):
        exchange = FakeExchange(events, clock, pause=10)
        job = Job(make_call(), make_route(), make_service(), None, clock.now() + 60_000)
        Relay(FakeAttemptRunner([exchange]), None, clock).run(job, client)
        assert exchange.attempt.event_times.pause_per_token() == pause


def test_buffered_answers_share_one_limit():
    clock = ManualClock()
    attempt_runner = FakeAttemptRunner([FakeExchange([PIECE, PIECE], clock)])
    shared_relay = Relay(attempt_runner, None, clock)
    shared_relay._buffered_bytes = MAX_TOTAL_BUFFERED_BYTES
    client = FakeClient()
    job = Job(
        make_call(), make_route(RequestKind.IDEMPOTENT), make_service(), None, 4_000
    )
    shared_relay.run(job, client)
    assert client.length is None
    assert shared_relay._buffered_bytes == MAX_TOTAL_BUFFERED_BYTES


def test_buffered_answer_counts_until_its_client_has_read_it():
    # Guards against memory that slow readers hold beside the limit.
    attempt_runner = FakeAttemptRunner([FakeExchange([PIECE, PIECE], ManualClock())])
    shared_relay = Relay(attempt_runner, None, ManualClock())
    counted = []

    class SlowClient(FakeClient):
        def write(self, data):
            counted.append(shared_relay._buffered_bytes)

    job = Job(
        make_call(), make_route(RequestKind.IDEMPOTENT), make_service(), None, 4_000
    )
    shared_relay.run(job, SlowClient())
    assert counted == [2 * len(PIECE)]
    assert shared_relay._buffered_bytes == 0


def test_slow_answer_ends_at_its_deadline():
    clock = ManualClock()
    slow = FakeExchange([b"x"] * 100, clock, pause=100)
    with pytest.raises(ResponseTimeout):
        Relay(SingleAttempt([slow]), None, clock).run(
            Job(
                make_call(),
                make_route(RequestKind.IDEMPOTENT),
                make_service(),
                None,
                4_000,
            ),
            FakeClient(),
        )
    assert clock.now() <= 4_100


class SingleAttempt(FakeAttemptRunner):
    def record_broken_answer(self, job, exchange, error):
        raise error


class WaitingExchange(FakeExchange):
    """A stream of one event without an end, which waits once `pieces` are read."""

    def __init__(self, pieces, clock, wait):
        super().__init__(pieces, clock)
        self.head = ResponseHead(
            200, Headers.from_pairs([(b"content-type", b"text/event-stream")])
        )
        self._wait = wait

    def read(self, timeout):
        if not self._pieces:
            self._wait()
        return super().read(timeout)


def test_incomplete_events_of_all_streams_share_one_limit():
    pieces = [b"id: 1\ndata: ", PIECE, PIECE, PIECE]
    stream_count = 2 * MAX_INCOMPLETE_EVENT_BYTES // (3 * len(PIECE))
    clock = ManualClock()
    all_read = threading.Event()
    ended = threading.Semaphore(0)
    waiting = []

    def wait():
        waiting.append(None)
        ended.release()
        all_read.wait(10)

    exchanges = [WaitingExchange(pieces, clock, wait) for _ in range(stream_count)]
    shared_relay = Relay(SingleAttempt(exchanges), None, clock)

    def run():
        job = Job(make_call(), make_route(), make_service(), None, 4_000)
        with pytest.raises(ResponseBroken):
            shared_relay.run(job, FakeClient())
        ended.release()

    with ThreadPoolExecutor(stream_count) as executor:
        runs = [executor.submit(run) for _ in range(stream_count)]
        for _ in range(stream_count):
            ended.acquire(timeout=10)
        held_bytes = len(waiting) * 3 * len(PIECE)
        all_read.set()
    assert all(run.exception() is None for run in runs)
    assert 0 < held_bytes <= MAX_INCOMPLETE_EVENT_BYTES
