"""Decides which requests are sent to upstreams with slots during an overload."""

from random import random

from mulberryhub.base.logs import module_logger
from mulberryhub.forward.admission_rates import AdmissionRate
from mulberryhub.forward.delay import is_too_late, max_delay
from mulberryhub.forward.room import QUEUE_PLACES_PER_SLOT, slot_count
from mulberryhub.forward.work import prefill_time

HTTP_SERVICE_UNAVAILABLE = 503
STARTUP_TIME_MS = 3_000  # in which a router comes to hear the others

log = module_logger(__name__)


class Admission:
    """Admits requests whose answers are expected to begin in time.

    `hears_others()` returns whether the requests of the other routers are known. Where
    no slots are configured, only the expected delay decides.
    """

    __slots__ = (
        "_room",
        "_slot_times",
        "_hears_others",
        "_clock",
        "_counters",
        "_rates_by_service",
        "_started_at",
    )

    def __init__(self, room, slot_times, hears_others, clock, counters):
        self._room = room
        self._slot_times = slot_times
        self._hears_others = hears_others
        self._clock = clock
        self._counters = counters
        self._rates_by_service = {}
        self._started_at = clock.now()

    def filter_for(self, job, accepts):
        """Return the function that returns whether an upstream may take `job` now.

        `accepts(upstream)` has to hold too.
        """
        if not job.service.slots:
            return accepts
        return lambda upstream: (
            accepts(upstream) and not self._room.is_full(upstream, job.service)
        )

    def record_arrival(self, job):
        """Record a request, before the first choice of an upstream for it."""
        if job.service.slots:
            self._rate(job).record_arrival(job, self._clock.now())

    def set_delay(self, job, choice):
        """Set the delay of `choice` to that of requests as urgent as `job`."""
        if not job.priority:
            choice.delay = self._room.urgent_delay(
                choice.upstream, job.service, choice.delay
            )

    def is_too_late(self, job, choice):
        """Return whether the answer of `job` would begin too late where it is sent."""
        if is_too_late(job, choice.delay):
            return True
        if job.is_answer_started:
            return False
        target = job.route.target_latency
        if not job.priority:
            return self._room.urgent_wait(choice.upstream, job.service) > target
        wait = self._room.wait(choice.upstream, job.service)
        return wait > 0 and choice.delay + prefill_time(job.call) > target

    def excess_delay(self, job, choice):
        """Return the ms by which a job that is too late misses its limit."""
        target = job.route.target_latency
        if job.priority:
            excess = choice.delay + prefill_time(job.call) - target
        else:
            excess = self._room.urgent_wait(choice.upstream, job.service) - target
        return max(excess, choice.delay - max_delay(job))

    def admitted_share(self, job, choice):
        """Return the share of requests like `job` to send to an upstream like this."""
        if not job.service.slots:
            return 1
        rate = self._rate(job)
        is_busy = self._is_busy(choice.upstream, job)
        if job.priority and is_busy and rate.limit is not None and self._hears_others():
            return 0
        return rate.admitted_share(job.priority, self._clock.now())

    def admits(self, job, choice):
        """Return whether `job` is sent, by a random draw while answers are late.

        Requests that ran before are sent, as their clients cannot be told that they did
        not run.
        """
        if job.runs or job.is_answer_started:
            return True
        share = self.admitted_share(job, choice)
        return share >= 1 or random() < share

    def time_until_room(self, job):
        """Return the time in ms in which the queue of a full upstream is worked off."""
        return QUEUE_PLACES_PER_SLOT * self._slot_times.mean(job.service)

    def record_sent(self, job):
        """Record that `job` is sent."""
        if job.service.slots:
            self._rate(job).record_admitted(job, self._clock.now())

    def record_answer(self, job, attempt):
        """Record that an upstream began a successful answer."""
        if not job.service.slots:
            return
        now = self._clock.now()
        if now - attempt.sent_at > job.route.target_latency:
            self.record_late(job, attempt)
        elif self._rate(job).record_in_time(now):
            log.info("requests are no longer limited", service=job.service.name)

    def record_late(self, job, attempt):
        """Record that an answer began late, or not in the time to wait for it."""
        if job.service.slots and self._is_busy(attempt.upstream, job):
            self._lower_limit(job, attempt)

    def record_not_run(self, job, exchange):
        """Record the state that an upstream shows which did not run `job`."""
        upstream = exchange.attempt.upstream
        facts = exchange.facts
        is_full = (
            exchange.head.status == HTTP_SERVICE_UNAVAILABLE
            and facts.pause is None
            and not facts.is_shutting_down
        )
        if is_full and slot_count(upstream, job.service):
            self._room.record_full(upstream)
            self._counters.add("upstream.full")
            self._lower_limit(job, exchange.attempt)

    def record_completed(self, job, exchange):
        """Record that the answer of `exchange` was complete."""
        if job.service.slots:
            duration = self._slot_time(job, exchange.attempt)
            self._slot_times.record(job.service, duration)

    def _lower_limit(self, job, attempt):
        rate = self._rate(job)
        was_limited = rate.limit is not None
        run_time = self._slot_times.mean(job.service)
        rate.record_late(attempt.sent_at, self._clock.now(), run_time)
        if not was_limited and rate.limit is not None:
            self._counters.add("overload.limited")
            log.warning(
                "requests are limited",
                service=job.service.name,
                limit_per_s=round(rate.limit),
                hears_others=self._hears_others(),
            )

    def _is_busy(self, upstream, job):
        """Return whether requests at an upstream may delay each other beyond a target.

        Without news of the other routers this is not known. At an upstream with few
        requests, answers may be late for reasons that fewer of them do not remove.
        """
        if self._lacks_news():
            return True
        if not self._room.has_load(upstream, job.service):
            return False
        delay = self._room.work_delay(upstream, job.service)
        return delay > self._rate(job).least_target

    def _lacks_news(self):
        """Return whether no other router is heard, except just after the start.

        A router that starts has no requests in flight, and hears others soon.
        """
        is_starting = self._clock.now() - self._started_at < STARTUP_TIME_MS
        return not (is_starting or self._hears_others())

    def _slot_time(self, job, attempt):
        """Return the time in ms for which a complete run occupied a slot.

        A stream tells when its prompt was processed, other answers only when they end.
        """
        now = self._clock.now()
        if job.is_stream and attempt.answered_at is not None:
            return now - attempt.answered_at + prefill_time(job.call)
        return max(0, now - attempt.sent_at - attempt.delay)

    def _rate(self, job):
        rate = self._rates_by_service.get(job.service.name)
        if rate is None:
            rate = self._rates_by_service[job.service.name] = AdmissionRate()
        return rate
