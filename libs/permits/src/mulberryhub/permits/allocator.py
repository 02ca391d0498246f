"""Issues permits for upstreams that limit the requests/s of all routers together.

One router, the coordinator, issues the permits of all routers. While routers disagree
about the coordinator, each coordinator issues the part of the rate that belongs to the
routers that follow it. A permit that is not used in time expires, so that the requests
in any window are bounded by the permits issued since a little before it:

    requests in W ms <= burst + rate * (W + PERMIT_VALIDITY_MS) * share
"""

from math import floor

from mulberryhub.base.windows import SlidingSum
from mulberryhub.fleet.channel import PermitGrant
from mulberryhub.permits.fair_share import FairShare
from mulberryhub.permits.share import MAX_SHARE

PERMIT_VALIDITY_MS = 500  # after which a permit that was not used expires
# Requests/s at upstreams that declare less, as only an answer tells that a limit ended.
MIN_RATE_PER_S = 0.25
MIN_BURST = 2.0  # permits that accumulate while nobody asks
BURST_TIME_MS = 300  # in which further permits accumulate
INITIAL_TIME_MS = 100  # in which the permits of a new bucket would accumulate
MAX_GRANT_SHARE = 0.25  # of the accumulated permits that one request gets
MIN_RETRY_MS = 20
MAX_RETRY_MS = 2_000
NO_SHARE_RETRY_MS = 250  # while this router may not issue permits
UNFAIR_RETRY_MS = 50  # for flows that are behind others
RETRY_GRACE_MS = 300  # after which a flow that did not ask again waits no longer
MAX_RETRY_JITTER = 1.25  # factor by which askers delay their next request
REQUEST_SPACING_MS = 5  # longer retry time for each request of the last second
REQUEST_WINDOW_MS = 1_000
MAX_IDLE_MS = 60_000  # after which the bucket of an upstream is dropped


class PermitBucket:
    """The permits of one upstream incarnation that can be issued.

    `level` is their number at the time `updated_at` (ms); it is below 0 if requests
    were sent without a permit.
    """

    __slots__ = ("level", "updated_at", "fair_share")

    def __init__(self, level, now):
        self.level = level
        self.updated_at = now
        self.fair_share = FairShare()

    def refill(self, rate, burst, now):
        """Add the permits of `rate` per s since the last refill, up to `burst`."""
        elapsed = now - self.updated_at
        self.updated_at = now
        self.level = min(burst, self.level + rate * elapsed / 1_000)


class PermitAllocator:
    """Issues permits as the coordinator.

    `read_share()` returns the share of each rate that this router may issue, from 0
    to 1.
    """

    __slots__ = ("_read_share", "_clock", "_buckets_by_key", "_requests")

    def __init__(self, read_share, clock):
        self._read_share = read_share
        self._clock = clock
        self._buckets_by_key = {}
        self._requests = SlidingSum(REQUEST_WINDOW_MS)

    def grant(self, request):
        """Return the PermitGrant that answers a PermitRequest."""
        now = self._clock.now()
        share = self._read_share()
        rate = max(request.rate, MIN_RATE_PER_S) * share
        bucket = self._bucket(request, rate, share, now)
        bucket.refill(rate, _burst(rate, share), now)
        bucket.level -= request.unpermitted
        self._requests.add(1, now)
        if not request.wanted:
            return PermitGrant(request.number, 0, 0)
        return self._grant_wanted(request, bucket, rate, now)

    def _grant_wanted(self, request, bucket, rate, now):
        has_permit = bucket.level >= 1
        if has_permit and bucket.fair_share.is_next(request.flow, now):
            count = min(request.wanted, max(1, floor(bucket.level * MAX_GRANT_SHARE)))
            bucket.level -= count
            bucket.fair_share.record_granted(request.flow, request.weight, count, now)
            return PermitGrant(request.number, count, 0)
        if has_permit:
            retry_after = UNFAIR_RETRY_MS
        else:
            retry_after = _time_until_permit(bucket.level, rate)
        spacing = self._requests.total_at(now) * REQUEST_SPACING_MS
        retry_after = max(retry_after, spacing, MIN_RETRY_MS)
        waits_until = now + retry_after * MAX_RETRY_JITTER + RETRY_GRACE_MS
        bucket.fair_share.record_denied(request.flow, waits_until, now)
        return PermitGrant(request.number, 0, round(retry_after))

    def _bucket(self, request, rate, share, now):
        """Return the bucket of an upstream incarnation, created with its first permits.

        There are few, as the former coordinator may have issued some just before.
        """
        key = (request.upstream, request.started)
        bucket = self._buckets_by_key.get(key)
        if bucket is None:
            self._drop_idle(now)
            level = share / MAX_SHARE + rate * INITIAL_TIME_MS / 1_000
            bucket = self._buckets_by_key[key] = PermitBucket(level, now)
        return bucket

    def _drop_idle(self, now):
        self._buckets_by_key = {
            key: bucket
            for key, bucket in self._buckets_by_key.items()
            if now - bucket.updated_at < MAX_IDLE_MS
        }


def _burst(rate, share):
    """Return the number of permits that may accumulate."""
    return max(1, MIN_BURST * share + rate * BURST_TIME_MS / 1_000)


def _time_until_permit(level, rate):
    """Return the ms until a bucket at `level` has one permit, up to MAX_RETRY_MS."""
    if not rate:
        return NO_SHARE_RETRY_MS
    return min(MAX_RETRY_MS, (1 - level) / rate * 1_000)
