"""Passes an upstream's answer on to the client as it arrives."""

from mulberryhub.forward.events import EventSplitter
from mulberryhub.forward.refusal import Reason, Refusal
from mulberryhub.http.messages import AnswerBroken, AnswerTimeout, HttpError

STATUS_OK = 200
MAX_BUFFERED = 1_048_576  # bytes of an answer that is read whole before it is sent
MOST_BUFFERED = 8_388_608  # bytes of all such answers together


class Relay:
    """Relays the answers of jobs; `attempts` finds the upstreams that go on."""

    __slots__ = ("_attempts", "_clock", "_buffered")

    def __init__(self, attempts, clock):
        self._attempts = attempts
        self._clock = clock
        self._buffered = 0

    def run(self, job, connection):
        """Serve `job`; return whether the client's connection can be used again."""
        while True:
            exchange = self._attempts.run(job)
            try:
                is_reusable = self._pass_on(job, exchange, connection)
                self._attempts.ended(job)
                return is_reusable
            except (AnswerBroken, AnswerTimeout) as error:
                goes_on = self._attempts.failed_midway(job, exchange, error)
                if not goes_on:
                    raise self._broken(job, error)
            finally:
                exchange.cancel()

    def _pass_on(self, job, exchange, connection):
        head = exchange.head
        if job.is_resumable_stream and head.status == STATUS_OK:
            return self._pass_events(job, exchange, connection)
        if job.is_started:
            raise AnswerBroken(f"the stream cannot go on: status {head.status}")
        if job.is_stream or (head.length or 0) > MAX_BUFFERED:
            return self._pass_pieces(job, exchange, connection)
        return self._pass_whole(job, exchange, connection)

    def _pass_whole(self, job, exchange, connection):
        """Read an answer to its end before it begins, unless it is too long for that.

        Until then another upstream may still run the request.
        """
        body = b""
        try:
            while (data := exchange.read(self._time_left(job))) is not None:
                body += data
                self._buffered += len(data)
                if len(body) > MAX_BUFFERED or self._buffered > MOST_BUFFERED:
                    return self._pass_pieces(job, exchange, connection, body)
        finally:
            self._buffered -= len(body)
        exchange.finish()
        self._start(job, exchange, connection, len(body))
        connection.write(body)
        return connection.finish_answer()

    def _pass_pieces(self, job, exchange, connection, first=b""):
        self._start(job, exchange, connection, exchange.head.length)
        if first:
            connection.write(first)
        while (data := exchange.read(self._time_left(job))) is not None:
            connection.write(data)
        exchange.finish()
        return connection.finish_answer()

    def _pass_events(self, job, exchange, connection):
        """Send whole events only, so that another upstream can go on after them."""
        if not job.is_started:
            self._start(job, exchange, connection, None)
        splitter = EventSplitter()
        while (data := exchange.read(self._time_left(job))) is not None:
            events = splitter.feed(data)
            if not events:
                continue
            connection.write(b"".join(event.data for event in events))
            for event in events:
                job.last_event = event.id or job.last_event
        if splitter.rest:
            connection.write(splitter.rest)
        exchange.finish()
        return connection.finish_answer()

    def _start(self, job, exchange, connection, length):
        headers = exchange.head.headers.without_hop_by_hop()
        head = exchange.head
        connection.start_answer(head.status, headers, length, head.is_framed)
        job.is_started = True
        job.status = head.status
        job.first_ms = self._clock.now() - job.call.request.arrived

    def _time_left(self, job):
        left = job.end - self._clock.now()
        if left <= 0:
            raise AnswerTimeout("the request's time is over")
        return left

    @staticmethod
    def _broken(job, error):
        """Return what ends a job whose answer broke off."""
        if job.is_started:
            return HttpError(f"the answer broke off: {error}")
        if isinstance(error, AnswerTimeout):
            return Refusal(Reason.UPSTREAM_SILENT)
        return Refusal(Reason.UPSTREAM_FAILED)
