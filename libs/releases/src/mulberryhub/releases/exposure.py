"""How many requests the target of a release receives while it is observed."""

from math import ceil, inf, sqrt

import msgspec

OUTCOME_LAG_MS = 1_500  # from a decision until its effect is in the sums over routers
MAX_STEP_MS = 500  # between decisions
RATE_PERIOD_MS = 2_000  # over which the request rate is measured
MIN_RATE_PERIOD_MS = 900  # less is too inaccurate, and routers begin at different times
HISTORY_MS = 10_000  # of shares; longer than any comparison needs them settled
ALIKE_RATIO = 2.5  # between shares that count as alike
SPENDING_MS = 3_000  # over which free exposure is used up; longer than the lag
TRIAL_MS = 1_000  # least duration of a trial at full load; queues have built up then
UNKNOWN_RATE_PART = 0.8  # of the permitted share, while the rate is not known
RATE_GROWTH = 1.1  # by which the rate may exceed the last one that is known
NOISE_DEVIATIONS = 1.5  # of the requests drawn at random that are not yet known
EARLY_SLACK = 0.3  # of the slack that may be used at once; a version may turn bad later
MAX_SHARE = 0.5  # the old version must serve as many, for comparison
LATE_SLACK = 0.9  # the rest is for routers whose reports are later than usual
RESTING_PART = 0.4  # of the permitted share, to save requests for trials at full load
# Upstreams differ in speed, so that all of them are observed in turn.
TURN_MS = 2_000
MAX_TURNS = 3  # more would take most of a release
OVERLOAD = 0.2  # of an upstream's usual load, by which a trial may exceed it


class Exposure:
    """The requests that the target and the service received, and the share over time.

    Addresses the bound on the exposure at each moment: outcomes are known late, so the
    requests that earlier decisions sent to the target count before they are reported.
    """

    __slots__ = (
        "exposed",
        "received",
        "is_trial",
        "_sums",
        "_shares",
        "_levels",
    )

    def __init__(self, exposed, received):
        self.exposed = exposed
        self.received = received
        self.is_trial = False
        self._sums = 0, 0
        self._shares = []  # (age, share) of each decision, oldest first
        self._levels = []  # (age, received), oldest first

    def observe(self, age, outcomes, has_heard_all):
        """Add what has become known; sums that fall are of routers that ended.

        Until all routers have been heard, the sums grow by what the saved numbers
        include already.
        """
        sums = outcomes.exposed, outcomes.received
        if has_heard_all:
            self.exposed += max(0, sums[0] - self._sums[0])
            self.received += max(0, sums[1] - self._sums[1])
        else:
            self.exposed = max(self.exposed, sums[0])
            self.received = max(self.received, sums[1])
        self._sums = sums
        if self.received:
            self._levels.append((age, self.received))
        while len(self._levels) > 2 and self._levels[1][0] <= age - RATE_PERIOD_MS:
            del self._levels[0]

    def rate(self):
        """Return the requests per ms that the service receives, 0 if unknown."""
        if not self._levels:
            return 0.0
        (first_age, first), (last_age, last) = self._levels[0], self._levels[-1]
        duration = last_age - first_age
        return (last - first) / duration if duration >= MIN_RATE_PERIOD_MS else 0.0

    def settled_time(self, age):
        """Return for how many of the last ms shares have been alike."""
        settled, least, most = 0, inf, 0.0
        for at, share in reversed(self._shares):
            least, most = min(least, share), max(most, share)
            if most > ALIKE_RATIO * least:
                break
            settled = age - at
        return settled

    def record_share(self, age, share):
        """Record the share of a decision."""
        self._shares.append((age, share))
        while len(self._shares) > 2 and self._shares[1][0] <= age - HISTORY_MS:
            del self._shares[0]

    def step(self):
        """Return the ms between the last two decisions."""
        if len(self._shares) < 2:
            return MAX_STEP_MS
        return min(MAX_STEP_MS, self._shares[-1][0] - self._shares[-2][0])

    def recent_share(self):
        """Return the last share, 0 before the first."""
        return self._shares[-1][1] if self._shares else 0.0

    def unreported(self, age, expose_share):
        """Return the ms for which shares above the bound count that are not reported.

        Weighted by how far they are above: at or below the bound, requests that are not
        known add to it at least as much as they use.
        """
        begin, weighted = age - OUTCOME_LAG_MS, 0.0
        ends = [at for at, _ in self._shares[1:]] + [age]
        for (at, share), end in zip(self._shares, ends):
            weighted += max(0, end - max(at, begin)) * max(0, share - expose_share)
        return weighted


class Plan(msgspec.Struct, frozen=True):
    """The share of requests and the number of upstreams of the target to send to."""

    share: float
    upstreams: int


def plan_exposure(age, observing_time, bounds, exposure, upstream_count):
    """Return the Plan `age` ms after the order of a release.

    `observing_time` is the age in ms at which the release is to be decided. Addresses
    versions that are bad only under load or only later: requests go to so few upstreams
    that each has its usual load. If the permitted share is less than the usual load of
    one upstream, the target is sent less of it, and then the usual load of one upstream
    for TRIAL_MS or longer.
    """
    if not upstream_count:
        return Plan(0.0, 0)
    rate = exposure.rate()
    free = _free_requests(age, observing_time, bounds, exposure, rate)
    limit = bounds.expose_share
    if not rate:
        share = limit * UNKNOWN_RATE_PART if free > 0 else 0.0
    elif limit * upstream_count >= 1 or free <= 0:
        exposure.is_trial = False
        share = limit + free / (rate * SPENDING_MS)
    else:
        share = _share_of_small_target(free, rate, limit, exposure, upstream_count)
    share = min(MAX_SHARE, max(0.0, share))
    if not share:
        return Plan(0.0, 0)
    return Plan(share, max(1, ceil(share * upstream_count - OVERLOAD)))


def _share_of_small_target(free, rate, limit, exposure, upstream_count):
    """Return the share of a target whose trials need more than the permitted share."""
    trial_share = min(MAX_SHARE, 1 / upstream_count)
    cost = (trial_share - limit) * rate * TRIAL_MS
    if exposure.is_trial:
        exposure.is_trial = free >= cost * exposure.step() / TRIAL_MS
    elif free >= cost:
        exposure.is_trial = True
    return trial_share if exposure.is_trial else limit * RESTING_PART


def _free_requests(age, observing_time, bounds, exposure, rate):
    """Return how many requests the target may receive beyond the permitted share."""
    share, slack = bounds.expose_share, bounds.expose_slack
    spending_time = max(1, observing_time - OUTCOME_LAG_MS)
    part = EARLY_SLACK + (LATE_SLACK - EARLY_SLACK) * min(1.0, age / spending_time)
    used = exposure.exposed - share * exposure.received
    unreported = exposure.unreported(age, share) * rate * RATE_GROWTH
    drawn = max(share, exposure.recent_share()) * rate * OUTCOME_LAG_MS
    # Few requests so far can not have had more noise than this.
    most_noise = slack / 2 + share * exposure.received
    noise = min(most_noise, NOISE_DEVIATIONS * sqrt(drawn))
    return slack * part - used - unreported - noise


def time_of_turns(bounds, upstream_count):
    """Return the ms in which enough of a target's upstreams have been observed.

    Where one is observed at a time, it may be a slow machine.
    """
    if bounds.expose_share * upstream_count >= 1:
        return 0
    return TURN_MS * min(MAX_TURNS, upstream_count)


def observed_upstreams(ids, count, turn):
    """Return `count` of the target's upstreams, other ones in each turn.

    All routers choose the same ones if they know the same upstreams.
    """
    ordered = sorted(ids)
    if count >= len(ordered):
        return ordered
    first = turn * count
    return [ordered[(first + i) % len(ordered)] for i in range(count)]
