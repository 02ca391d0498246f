"""Learns the speed of each upstream from its responses to this and other routers.

Upstreams of one service may differ in speed, while the expected delay counts work in
flight as if all were equally fast. Slow upstreams would then receive as many requests
as fast ones, and answer them late.
"""

from math import log2

from mulberryhub.base.logs import module_logger
from mulberryhub.forward.slowness import (
    MIN_LOG_SLOWNESS,
    PRIOR_WEIGHT,
    SlownessSum,
    estimate_log_slowness,
    move_towards,
)
from mulberryhub.forward.speed_costs import (
    USUAL_SLOWNESS,
    processing_cost,
    rank_by_speed,
)
from mulberryhub.forward.speed_sharing import SharedSums, encode_due, incarnation_key
from mulberryhub.forward.usual_times import UsualTimes
from mulberryhub.forward.work import prefill_time

REFRESH_INTERVAL_MS = 1_000  # of the estimates
# Pauses count more than the first event, whose time depends on what is cached and on
# requests that other routers sent a moment ago.
FIRST_EVENT_WEIGHT = 1
PAUSES_WEIGHT = 3
FIRST_EVENT_TIME_MS = 50  # from the end of prefill to the first event

log = module_logger(__name__)


class Estimate:
    """The log slowness of the incarnation `started` of an upstream."""

    __slots__ = ("started", "log_slowness")

    def __init__(self, started, log_slowness):
        self.started = started
        self.log_slowness = log_slowness


class UpstreamSpeeds:
    """The relative speeds of upstreams that `fleet_state` lists.

    `read_others()` returns the Usage of the other routers, or None if not known.
    """

    __slots__ = (
        "_fleet_state",
        "_read_others",
        "_clock",
        "_usual_times",
        "_own_sums_by_id",
        "_shared_sums",
        "_estimates_by_id",
        "_slowness_by_id",
        "_fastest_by_service",
        "_refreshed_at",
    )

    def __init__(self, fleet_state, read_others, clock):
        self._fleet_state = fleet_state
        self._read_others = read_others
        self._clock = clock
        self._usual_times = UsualTimes()
        self._own_sums_by_id = {}
        self._shared_sums = SharedSums()
        self._estimates_by_id = {}
        # Of upstreams that differ from the usual speed by a third or more.
        self._slowness_by_id = {}
        self._fastest_by_service = {}  # the slowness of the fastest upstream
        self._refreshed_at = clock.now()

    def record_first_event(self, job, attempt):
        """Record that the first event of an attempt at `job` arrived."""
        if not job.service.models or job.call.prompt_tokens is None:
            return
        slowness = self._slowness_by_id.get(attempt.upstream.id, USUAL_SLOWNESS)
        expected = attempt.delay + slowness * prefill_time(job.call)
        expected += FIRST_EVENT_TIME_MS
        measured = max(1, self._clock.now() - attempt.sent_at)
        log_time = log2(measured / expected * slowness)
        self._record(job, attempt.upstream, "first", log_time, FIRST_EVENT_WEIGHT)

    def record_completed(self, job, attempt):
        """Record that the answer of an attempt at `job` is complete."""
        pause = attempt.event_times.pause_per_token()
        if pause is not None:
            self._record(job, attempt.upstream, "pause", log2(pause), PAUSES_WEIGHT)

    def adjust_delay(self, upstream, service, delay):
        """Return the expected delay in ms divided by the speed of the upstream."""
        return delay * self._slowness_by_id.get(upstream.id, USUAL_SLOWNESS)

    def processing_cost(self, call, service):
        """Return the function that returns the cost in ms of `call` at an upstream."""
        self._refresh()
        return processing_cost(call, service, self._slowness_by_id)

    def rank_homes(self, placement, digest, count, service):
        """Return the `count` best candidates to cache the parts with `digest`."""
        fastest = self._fastest_by_service.get(service.name)
        if fastest is None:
            return placement.rank(digest, count)
        return rank_by_speed(placement, digest, count, self._slowness_by_id, fastest)

    def shared_sums(self):
        """Return the weights and totals for `Usage`, each by incarnation."""
        return encode_due(
            self._own_sums_by_id,
            self._fleet_state.upstreams_by_id,
            self._clock.now(),
            self._clock.wall(),
        )

    def speeds_by_id(self):
        """Return the speeds of upstreams that differ from the usual by a third."""
        return {id: 1 / slowness for id, slowness in self._slowness_by_id.items()}

    def _record(self, job, upstream, kind, log_time, weight):
        """Add a response to the sum of its upstream.

        `log_time` is the logarithm of its time, which is compared with the usual one.
        """
        estimate = self._estimates_by_id.get(upstream.id)
        known = 0
        if estimate is not None and estimate.started == upstream.started:
            known = estimate.log_slowness
        # Only models of the configuration, as clients may name any number of others.
        model = job.call.model if job.call.model in job.service.models else None
        key = job.service.name, model, kind
        log_slowness = self._usual_times.compare(key, log_time, known)
        if log_slowness is None:
            return
        now = self._clock.now()
        item = self._own_sums_by_id.get(upstream.id)
        if item is None or item.started != upstream.started:
            name = incarnation_key(upstream.id, upstream.started)
            item = SlownessSum(upstream.started, name, now)
            self._own_sums_by_id[upstream.id] = item
        item.add(log_slowness, weight, now)

    def _refresh(self):
        """Estimate all speeds anew if that is due."""
        now = self._clock.now()
        elapsed = now - self._refreshed_at
        if elapsed < REFRESH_INTERVAL_MS:
            return
        self._refreshed_at = now
        upstreams_by_id = self._fleet_state.upstreams_by_id
        self._shared_sums.read(self._read_others(), upstreams_by_id, now)
        for id, item in list(self._own_sums_by_id.items()):
            if not item.is_valid(upstreams_by_id, id, now):
                del self._own_sums_by_id[id]
        targets_by_id = self._targets(upstreams_by_id, now)
        self._estimates_by_id = {
            id: Estimate(upstream.started, log_slowness)
            for id, upstream in upstreams_by_id.items()
            if (log_slowness := self._moved(upstream, targets_by_id, elapsed))
        }
        self._apply(upstreams_by_id)

    def _targets(self, upstreams_by_id, now):
        """Return the log slowness by id that the responses so far show."""
        sums_by_service = {}
        for sums_by_id in (self._own_sums_by_id, self._shared_sums.by_id):
            for id, item in sums_by_id.items():
                service = upstreams_by_id[id].service
                by_id = sums_by_service.setdefault(service, {})
                by_id.setdefault(id, []).append(item)
        targets_by_id = {}
        for sums_by_id in sums_by_service.values():
            targets_by_id |= estimate_log_slowness(sums_by_id, now)
        return targets_by_id

    def _moved(self, upstream, targets_by_id, elapsed):
        """Return the new log slowness of an upstream.

        Without an estimate, what other routers know by many responses is taken over at
        once, so that a router that starts does not send too much to slow upstreams.
        """
        target = targets_by_id.get(upstream.id, 0)
        estimate = self._estimates_by_id.get(upstream.id)
        if estimate is not None and estimate.started == upstream.started:
            return move_towards(estimate.log_slowness, target, elapsed)
        shared = self._shared_sums.by_id.get(upstream.id)
        if shared is not None and shared.weight >= PRIOR_WEIGHT:
            return target
        return move_towards(0, target, elapsed)

    def _apply(self, upstreams_by_id):
        """Apply the estimates that differ enough from the usual speed; log changes."""
        before = self._slowness_by_id
        after = self._slowness_by_id = {
            id: 2**estimate.log_slowness
            for id, estimate in self._estimates_by_id.items()
            if abs(estimate.log_slowness) >= MIN_LOG_SLOWNESS
        }
        self._fastest_by_service = {}
        for id, slowness in after.items():
            service = upstreams_by_id[id].service
            fastest = self._fastest_by_service.get(service, USUAL_SLOWNESS)
            self._fastest_by_service[service] = min(fastest, slowness)
        for id in before.keys() ^ after.keys():
            self._log_change(upstreams_by_id.get(id), after.get(id, USUAL_SLOWNESS))

    def _log_change(self, upstream, slowness):
        """Log that an upstream, None if it is gone, got or lost a speed of its own."""
        if upstream is not None:
            log.info(
                "upstream speed changed",
                upstream=upstream.id,
                started=upstream.started,
                service=upstream.service,
                speed=round(1 / slowness, 2),
                own_weight=_weight_of(self._own_sums_by_id, upstream.id),
                others_weight=_weight_of(self._shared_sums.by_id, upstream.id),
            )


def _weight_of(sums_by_id, id):
    """Return the weight of the responses to routers, as logged."""
    return round(sums_by_id[id].weight, 1) if id in sums_by_id else 0
