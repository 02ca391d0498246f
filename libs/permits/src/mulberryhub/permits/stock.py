"""The permits that a router holds, and when it may ask for more."""

from collections import OrderedDict
from math import ceil
from random import uniform

from mulberryhub.base.green import Event
from mulberryhub.base.windows import SlidingSum
from mulberryhub.fleet.channel import PermitRequest
from mulberryhub.permits.allocator import MAX_RETRY_JITTER, PERMIT_VALIDITY_MS

NO_ANSWER_RETRY_MS = 200  # if the coordinator does not answer
DEMAND_WINDOW_MS = 1_000
PREFETCH_TIME_MS = 200  # for which one request to the coordinator covers the use
MAX_HOLDING_COUNT = 5_000  # pairs of an upstream and a flow
MIN_RETRY_AFTER_MS = 200  # that clients are told
MAX_RETRY_AFTER_MS = 4_000
RETRY_AFTER_SPREAD = 1.5  # factor over which clients are spread
MIN_GRANTED_SHARE = 0.05  # limits the time that clients are told to wait


class Flow:
    """Requests that share what they are granted, such as those of one workspace.

    `weight` is their part relative to that of other flows.
    """

    __slots__ = ("key", "weight")

    def __init__(self, key, weight=1.0):
        self.key = key
        self.weight = weight


class Holding:
    """The permits of one flow for one upstream incarnation.

    `count` permits are valid until `expires_at`, and more may be requested from
    `ask_at` on (ms). `pending` is the Event of a request on its way, or None.
    """

    __slots__ = (
        "started",
        "count",
        "expires_at",
        "ask_at",
        "pending",
        "waiting",
        "wanted",
        "used",
    )

    def __init__(self, started):
        self.started = started
        self.count = 0
        self.expires_at = 0
        self.ask_at = 0
        self.pending = None
        self.waiting = 0
        self.wanted = SlidingSum(DEMAND_WINDOW_MS)
        self.used = SlidingSum(DEMAND_WINDOW_MS)

    def use(self, now):
        """Use one permit; return whether there was one."""
        if not self.count or now > self.expires_at:
            return False
        self.count -= 1
        self.used.add(1, now)
        return True

    def is_open(self, now):
        """Return whether there is a permit, or another one may be requested."""
        return now >= self.ask_at or bool(self.count and now <= self.expires_at)


class PermitStock:
    """Permits by upstream and flow.

    `ask(request)` returns the PermitGrant of the coordinator, or None without one.
    """

    __slots__ = ("_ask", "_clock", "_holdings_by_key")

    def __init__(self, ask, clock):
        self._ask = ask
        self._clock = clock
        self._holdings_by_key = OrderedDict()

    def is_open(self, upstream, flow):
        """Return whether a request of `flow` can be tried, and count it as wanted."""
        now = self._clock.now()
        holding = self._holding(upstream, flow)
        holding.wanted.add(1, now)
        return holding.is_open(now)

    def take(self, upstream, rate, flow, deadline):
        """Use a permit for one request; return whether there was one.

        If none is left, one is requested from the coordinator, and the call blocks
        until its answer. From `deadline` (ms) on, none is requested. `rate` is the
        limit of the upstream in requests/s.
        """
        holding = self._holding(upstream, flow)
        while not holding.use(self._clock.now()):
            if self._clock.now() >= deadline or self._clock.now() < holding.ask_at:
                return False
            if holding.pending is None:
                self._request_more(holding, upstream, rate, flow)
            else:
                self._wait(holding)
        return True

    def put_back(self, upstream, flow):
        """Return the permit of a request that was not sent."""
        holding = self._holding(upstream, flow)
        holding.count += 1
        holding.used.add(-1, self._clock.now())

    def charge(self, upstream, rate):
        """Report a request that is sent without a permit to the coordinator."""
        self._ask(
            PermitRequest(
                0, upstream.id, upstream.started, rate, "", 1, 0, unpermitted=1
            )
        )

    def retry_after(self, upstream, flow):
        """Return the time in ms after which a refused request may be granted.

        It grows as the share of requests that are granted falls, so that clients do
        not all return for the same permit.
        """
        now = self._clock.now()
        holding = self._holding(upstream, flow)
        wanted = max(1, holding.wanted.total_at(now))
        share = min(1, holding.used.total_at(now) / wanted)
        backlog = MIN_RETRY_AFTER_MS / max(share, MIN_GRANTED_SHARE)
        time_until_permit = max(backlog, holding.ask_at - now)
        return min(MAX_RETRY_AFTER_MS, time_until_permit) * uniform(
            1, RETRY_AFTER_SPREAD
        )

    def _request_more(self, holding, upstream, rate, flow):
        asked_at = self._clock.now()
        holding.pending = Event()
        expected = holding.used.total_at(asked_at) * PREFETCH_TIME_MS / DEMAND_WINDOW_MS
        wanted = max(1 + holding.waiting, ceil(expected))
        request = PermitRequest(
            0,
            upstream.id,
            upstream.started,
            rate,
            flow.key,
            flow.weight,
            wanted,
        )
        grant = None
        try:
            grant = self._ask(request)
        finally:
            pending, holding.pending = holding.pending, None
            self._apply(holding, grant, asked_at)
            pending.send()

    def _apply(self, holding, grant, asked_at):
        if grant is None:
            holding.ask_at = self._clock.now() + NO_ANSWER_RETRY_MS
        elif grant.count:
            # Of the permits that were left, none would have been valid.
            holding.count = grant.count
            holding.expires_at = asked_at + PERMIT_VALIDITY_MS
        else:
            retry_after = grant.retry_after * uniform(1, MAX_RETRY_JITTER)
            holding.ask_at = self._clock.now() + retry_after

    @staticmethod
    def _wait(holding):
        holding.waiting += 1
        try:
            holding.pending.wait()
        finally:
            holding.waiting -= 1

    def _holding(self, upstream, flow):
        key = (upstream.id, flow.key)
        holding = self._holdings_by_key.get(key)
        if holding is None or holding.started != upstream.started:
            if len(self._holdings_by_key) >= MAX_HOLDING_COUNT:
                self._holdings_by_key.popitem(last=False)
            holding = self._holdings_by_key[key] = Holding(upstream.started)
        return holding
