from collections import deque

import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.records import Kind
from mulberryhub.forward.job import Job
from mulberryhub.forward.relay import MAX_BUFFERED, MOST_BUFFERED, Relay
from mulberryhub.http.messages import (
    AnswerBroken,
    AnswerHead,
    AnswerTimeout,
    Headers,
)
from tests.forward.fakes import make_call, make_route, make_service

PIECE = b"x" * 65_536


class Exchange:
    """An answer whose body is `pieces`; an exception among them ends it."""

    def __init__(self, pieces, clock, pause=0):
        self.head = AnswerHead(200, Headers())
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


class Client:
    def __init__(self):
        self.length = None
        self.is_started = False
        self.body = b""

    def start_answer(self, status, headers, length, is_framed):
        self.is_started = True
        self.length = length

    def write(self, data):
        self.body += data

    def finish_answer(self):
        return True


class Attempts:
    def __init__(self, exchanges):
        self._exchanges = deque(exchanges)
        self.ended_jobs = []

    def run(self, job):
        job.runs += 1
        return self._exchanges.popleft()

    def failed_midway(self, job, exchange, error):
        return job.is_resumable_stream or not job.is_started

    def ended(self, job):
        self.ended_jobs.append(job)


def relay(*exchanges, clock=None, kind=Kind.IDEMPOTENT):
    clock = clock or ManualClock()
    attempts, client = Attempts(exchanges), Client()
    job = Job(make_call(), make_route(kind), make_service(), None, 4_000)
    Relay(attempts, clock).run(job, client)
    return attempts, client


def test_a_short_answer_is_read_whole_before_it_begins():
    clock = ManualClock()
    broken = Exchange([b"half", AnswerBroken("reset")], clock)
    _, client = relay(broken, Exchange([b"whole"], clock), clock=clock)
    assert (client.body, client.length) == (b"whole", 5)


def test_a_long_answer_without_a_length_is_passed_on_as_it_comes():
    pieces = [PIECE] * (2 * MAX_BUFFERED // len(PIECE))
    attempts, client = relay(Exchange(pieces, ManualClock()))
    assert client.length is None
    assert client.body == b"".join(pieces)
    assert len(attempts.ended_jobs) == 1


def test_answers_that_are_read_whole_share_one_bound():
    clock = ManualClock()
    attempts = Attempts([Exchange([PIECE, PIECE], clock)])
    passing = Relay(attempts, clock)
    passing._buffered = MOST_BUFFERED
    client = Client()
    job = Job(make_call(), make_route(Kind.IDEMPOTENT), make_service(), None, 4_000)
    passing.run(job, client)
    assert client.length is None
    assert passing._buffered == MOST_BUFFERED


def test_an_answer_that_trickles_ends_at_its_deadline():
    clock = ManualClock()
    slow = Exchange([b"x"] * 100, clock, pause=100)
    with pytest.raises(AnswerTimeout):
        Relay(OnlyOnce([slow]), clock).run(
            Job(make_call(), make_route(Kind.IDEMPOTENT), make_service(), None, 4_000),
            Client(),
        )
    assert clock.now() <= 4_100


class OnlyOnce(Attempts):
    def failed_midway(self, job, exchange, error):
        raise error
