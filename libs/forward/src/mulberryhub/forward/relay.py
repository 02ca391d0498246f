"""Relays upstream answers to clients."""

from mulberryhub.forward.events import EventDecoder, is_event_stream
from mulberryhub.forward.refusal import Reason, Refusal
from mulberryhub.http.body_memory import BodyMemory
from mulberryhub.http.messages import (
    SUCCESS_STATUSES,
    HttpError,
    ResponseBroken,
    ResponseMalformed,
    ResponseTimeout,
    ResponseTruncated,
)

MAX_BUFFERED_ANSWER_BYTES = 1_048_576  # longer answers are streamed
MAX_TOTAL_BUFFERED_BYTES = 8_388_608  # of all buffered answers together
MAX_INCOMPLETE_EVENT_BYTES = 8_388_608  # of all streams together


class Relay:
    """Relays the answers of jobs.

    `attempt_runner` provides the exchange to relay, and another one if an answer ends
    early. `event_header` is the field that upstreams may send in an event beside its id
    and data, None for none.
    """

    __slots__ = (
        "_attempt_runner",
        "_event_header",
        "_clock",
        "_buffered_bytes",
        "_incomplete_events",
    )

    def __init__(self, attempt_runner, event_header, clock):
        self._attempt_runner = attempt_runner
        self._event_header = event_header
        self._clock = clock
        self._buffered_bytes = 0
        self._incomplete_events = BodyMemory(MAX_INCOMPLETE_EVENT_BYTES)

    def run(self, job, connection):
        """Serve `job`; return whether the client's connection can be reused."""
        while True:
            exchange = self._attempt_runner.run(job)
            try:
                is_reusable = self._relay_answer(job, exchange, connection)
                self._attempt_runner.record_completed(job, exchange)
                return is_reusable
            except (ResponseBroken, ResponseTimeout) as error:
                may_run_again = self._attempt_runner.record_broken_answer(
                    job, exchange, error
                )
                if not may_run_again:
                    raise self._early_end_error(job, error)
            finally:
                exchange.cancel()

    def _relay_answer(self, job, exchange, connection):
        head = exchange.head
        if job.is_stream and head.status in SUCCESS_STATUSES:
            if not is_event_stream(head):
                raise ResponseMalformed("answer is no stream of events")
            return self._relay_events(job, exchange, connection)
        if job.is_answer_started:
            raise ResponseBroken(f"does not continue the stream: status {head.status}")
        if job.is_stream or (head.length or 0) > MAX_BUFFERED_ANSWER_BYTES:
            return self._relay_streamed(job, exchange, connection)
        return self._relay_buffered(job, exchange, connection)

    def _relay_buffered(self, job, exchange, connection):
        """Buffer the whole answer before sending it, unless it is too long for that.

        Until the answer is sent, another upstream can still run the request. Its bytes
        count until the client has taken them.
        """
        body = b""
        try:
            while (data := self._read(job, exchange)) is not None:
                body += data
                self._buffered_bytes += len(data)
                if (
                    len(body) > MAX_BUFFERED_ANSWER_BYTES
                    or self._buffered_bytes > MAX_TOTAL_BUFFERED_BYTES
                ):
                    return self._relay_streamed(job, exchange, connection, body)
            exchange.finish()
            self._start_answer(job, exchange, connection, len(body))
            connection.write(body)
            return connection.finish_response()
        finally:
            self._buffered_bytes -= len(body)

    def _relay_streamed(self, job, exchange, connection, buffered=b""):
        self._start_answer(job, exchange, connection, exchange.head.length)
        if buffered:
            connection.write(buffered)
        while (data := self._read(job, exchange)) is not None:
            connection.write(data)
        exchange.finish()
        return connection.finish_response()

    def _relay_events(self, job, exchange, connection):
        """Send complete events only, so that another upstream can resume after them.

        Nothing is sent of a read that holds bytes that are no event, as the events
        beside them may be garbage too: there the stream was broken off. So it was if it
        ends inside an event, whatever its framing says, or without any events and
        without stating its end.
        """
        if not job.is_answer_started:
            self._start_answer(job, exchange, connection, None)
        decoder = EventDecoder(
            self._event_header, job.resume_after_id, job.call.output_tokens or None
        )
        has_events = False
        for events in self._read_events(job, exchange, decoder):
            exchange.attempt.event_times.record(events[-1].id, self._clock.now())
            if not has_events:
                self._attempt_runner.record_first_event(job, exchange)
            has_events = True
            exchange.attempt.record_event(self._clock.now())
            self._write_events(exchange, connection, events)
            job.record_events(events, exchange.attempt.upstream)
        if decoder.is_inside_event:
            self._raise_inside_event(exchange.head)
        if not has_events and not exchange.head.is_framed:
            raise ResponseTruncated("stream ended before its first event")
        exchange.finish()
        return connection.finish_response()

    def _write_events(self, exchange, connection, events):
        began_at = self._clock.now()
        connection.write(b"".join(event.data for event in events))
        exchange.attempt.event_times.record_blocked(self._clock.now() - began_at)

    def _read_events(self, job, exchange, decoder):
        """Yield the events that each read completes, until the end of the stream."""
        reservation = self._incomplete_events.new_reservation()
        try:
            while (data := self._read(job, exchange)) is not None:
                events = decoder.feed(data)
                if events:
                    reservation.release()
                    yield events
                if not reservation.try_grow(decoder.open_bytes):
                    raise ResponseBroken("incomplete events use all of their memory")
        finally:
            reservation.release()

    @staticmethod
    def _raise_inside_event(head):
        """Raise the error of a stream that ends inside an event.

        A process that crashes doesn't state the end of its answer.
        """
        message = "stream ended inside an event"
        raise (
            ResponseMalformed(message) if head.is_framed else ResponseTruncated(message)
        )

    def _start_answer(self, job, exchange, connection, length):
        headers = exchange.head.headers.without_hop_by_hop()
        head = exchange.head
        connection.start_response(head.status, headers, length)
        job.is_answer_started = True
        job.status = head.status
        job.first_byte_ms = self._clock.now() - job.call.request.arrived_at

    def _read(self, job, exchange):
        """Return the next bytes of an answer's body, or None at its end."""
        data = exchange.read(self._time_left(job))
        if exchange.attempt.answered_at is None:
            exchange.attempt.answered_at = self._clock.now()
        return data

    def _time_left(self, job):
        time_left = job.deadline - self._clock.now()
        if time_left <= 0:
            raise ResponseTimeout("request deadline exceeded")
        return time_left

    @staticmethod
    def _early_end_error(job, error):
        """Return the exception that ends a job whose answer ended early."""
        if job.is_answer_started:
            return HttpError(f"answer ended early: {error}")
        if isinstance(error, ResponseTimeout):
            return Refusal(Reason.UPSTREAM_SILENT)
        return Refusal(Reason.UPSTREAM_FAILED)
