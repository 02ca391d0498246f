"""The room that upstreams with slots have, and the wait for a slot.

An upstream runs a limited number of requests at once and queues some more. Routers that
do not count the requests there send to upstreams that are full, so that answers begin
long after clients have given up.
"""

from random import uniform

LOADED_USE = 0.5  # of the slots, up to which answers are late for other reasons
SPREAD_USE = 0.5  # of the slots, beyond which requests are spread
REPORT_TIME_MS = 250  # in which other routers may send without being counted
MAX_FULL_AGE_MS = 60_000  # far longer than a queue lasts
QUEUE_PLACES_PER_SLOT = 3  # that an upstream has for requests that wait


class FullAnswer:
    """An answer of the incarnation `started`, at `at` (ms), that it was full."""

    __slots__ = ("started", "at")

    def __init__(self, started, at):
        self.started = started
        self.at = at


class Room:
    """Estimates the wait for a slot at each upstream of services with slots.

    `loads` counts the requests in flight from all routers, `slot_times` tells how long
    they occupy a slot. Requests of routers that are not heard are seen only as the
    upstream answers that it is full.
    """

    __slots__ = ("_loads", "_slot_times", "_clock", "_full_answers_by_id")

    def __init__(self, loads, slot_times, clock):
        self._loads = loads
        self._slot_times = slot_times
        self._clock = clock
        self._full_answers_by_id = {}

    def record_full(self, upstream):
        """Record that `upstream` answered that its slots and its queue are full."""
        now = self._clock.now()
        self._full_answers_by_id = {
            id: answer
            for id, answer in self._full_answers_by_id.items()
            if now - answer.at <= MAX_FULL_AGE_MS
        }
        self._full_answers_by_id[upstream.id] = FullAnswer(upstream.started, now)

    def adjust(self, upstream, service, delay):
        """Return the delay in ms at an upstream, at least the wait for a slot there."""
        return max(delay, self.wait(upstream, service))

    def spread_cost(self, upstream, service):
        """Return a random cost in ms at an upstream whose slots fill.

        Routers that see the same state would otherwise all choose the same upstream
        until they hear of each other's requests.
        """
        slots = slot_count(upstream, service)
        if not slots:
            return 0
        used = self._requests(upstream, service, slots) / slots
        part = min(1, max(0, used - SPREAD_USE) / (1 - SPREAD_USE))
        return part * uniform(0, REPORT_TIME_MS)

    def wait(self, upstream, service):
        """Return the wait in ms for a slot, 0 while one is free."""
        slots = slot_count(upstream, service)
        if not slots:
            return 0
        requests = self._requests(upstream, service, slots)
        return self._time_to_free(requests + 1 - slots, service, slots)

    def has_load(self, upstream, service):
        """Return whether an upstream has so many requests that they show its load."""
        slots = slot_count(upstream, service)
        if not slots:
            return False
        return self._requests(upstream, service, slots) > LOADED_USE * slots

    def work_delay(self, upstream, service):
        """Return the delay in ms by all requests at an upstream, urgent or not."""
        return max(self._loads.work(upstream.id), self.wait(upstream, service))

    def urgent_wait(self, upstream, service):
        """Return the wait in ms for a slot behind the most urgent requests alone."""
        slots = slot_count(upstream, service)
        if not slots:
            return 0
        queued = self._loads.urgent_count(upstream.id) + 1 - slots
        return self._time_to_free(queued, service, slots)

    def urgent_delay(self, upstream, service, delay):
        """Return the part of `delay` ms that applies to the most urgent requests.

        They leave the queue first, so that they wait for others of their kind and for
        the requests in the slots.
        """
        slots = slot_count(upstream, service)
        requests = self._requests(upstream, service, slots) if slots else 0
        if requests < slots or not slots:
            return delay
        queued = max(0, self._loads.urgent_count(upstream.id) - slots)
        wait = self._time_to_free(min(queued, requests - slots) + 1, service, slots)
        work_in_slots = self._loads.work(upstream.id) * slots / requests
        return min(delay, max(wait, work_in_slots))

    def is_full(self, upstream, service):
        """Return whether the slots and the queue of an upstream are full."""
        slots = slot_count(upstream, service)
        if not slots:
            return False
        return self._requests(upstream, service, slots) >= capacity(slots)

    def _requests(self, upstream, service, slots):
        """Return the number of requests at an upstream.

        After an answer that it was full, at most those have ended that its slots can
        have served since.
        """
        known = self._loads.request_count(upstream.id)
        full = self._full_answers_by_id.get(upstream.id)
        if full is None:
            return known
        elapsed = self._clock.now() - full.at
        served = elapsed * slots / self._slot_times.mean(service)
        left = capacity(slots) - int(served)
        if left <= slots or full.started != upstream.started:
            del self._full_answers_by_id[upstream.id]
            return known
        return max(known, left)

    def _time_to_free(self, count, service, slots):
        """Return the time in ms in which `count` of the slots become free."""
        return max(0, count) * self._slot_times.mean(service) / slots


def slot_count(upstream, service):
    """Return the slots of an upstream, 0 if its service has none configured."""
    return (upstream.slots or service.slots) if service.slots else 0


def capacity(slots):
    """Return how many requests an upstream accepts, running and waiting."""
    return slots * (1 + QUEUE_PLACES_PER_SLOT)
