"""The share of a data centre's requests that is sent to each other data centre.

All routers of a data centre see the same expected delays, some of them late. If each
moved all of its requests to where the delay is least, all would do so at once, and back
when they learn of the result. So each router sends a share that moves slowly, and the
shares of all routers move alike. A share has a part in proportion to the difference of
the delays, which reacts to a sudden excess, and a part that sums the difference up over
time, which holds the share at the excess while the delays are alike.
"""

PERIOD_MS = 200  # between updates; reports of other routers are up to 250 ms apart
MAX_PERIODS = 5  # that one update makes up for
MAX_STEP = 0.1  # by which a share moves in a period
# Difference in delay, beyond the cost of the transfer, from which requests leave. A
# few prompts in flight differ as much.
MARGIN_MS = 25
# Difference for which the proportional part is 1. Under twice the load that upstreams
# can take, their delay grows by 1 ms per ms, and it is known some 300 ms late. A much
# smaller value makes shares oscillate.
FULL_SHARE_MS = 800
# Time in which the sum reaches the proportional part if the difference stays the same.
SUM_TIME_MS = 1_600
RETURN_STEP = 0.02  # by which the sum falls in a period, at least, where home is better


class OutboundShare:
    """The share of one destination, and its part that is summed over time."""

    __slots__ = ("value", "sum")

    def __init__(self):
        self.value = 0.0
        self.sum = 0.0

    def move(self, error, gain, periods):
        """Move towards the share for a difference of `error` ms beyond the margin.

        It moves by MAX_STEP per period at most.
        """
        proportional = gain * error / FULL_SHARE_MS
        step = proportional * PERIOD_MS / SUM_TIME_MS
        if error < 0:
            step = min(step, -RETURN_STEP)
        self.sum = _bounded(self.sum + step * periods, 1)
        wanted = _bounded(self.sum + proportional, 1)
        max_step = MAX_STEP * periods
        self.value += max(-max_step, min(max_step, wanted - self.value))


class OutboundShares:
    """The shares of the requests of one service, by destination."""

    __slots__ = ("_shares", "_updated_at")

    def __init__(self):
        self._shares = {}
        self._updated_at = None

    def is_due(self, now):
        """Return whether the shares are to be updated at `now` ms."""
        return self._updated_at is None or now - self._updated_at >= PERIOD_MS

    def update(self, now, home_delay, cost_by_destination, latency_target):
        """Move the shares according to the expected delays in ms.

        `home_delay` is that of the best upstream at home, `cost_by_destination` that of
        the best one elsewhere with the cost of the transfer. Nothing is sent to
        destinations that are not included.
        """
        periods = 1
        if self._updated_at is not None:
            periods = min((now - self._updated_at) / PERIOD_MS, MAX_PERIODS)
        self._updated_at = now
        for name in self._shares.keys() - cost_by_destination.keys():
            del self._shares[name]
        for name, cost in cost_by_destination.items():
            share = self._shares.setdefault(name, OutboundShare())
            error = _error(home_delay, cost, latency_target)
            # All shares react to the same delay at home.
            share.move(error, 1 / len(cost_by_destination), periods)

    def by_destination(self):
        """Return the shares above 0, which together are 1 at most."""
        values = {name: share.value for name, share in self._shares.items()}
        total = max(1, sum(values.values()))
        return {name: value / total for name, value in values.items() if value > 0}

    def draw(self, number):
        """Return the destination for a random `number` from 0 to 1, None for home."""
        for name, share in self.by_destination().items():
            if number < share:
                return name
            number -= share
        return None


def _error(home_delay, cost, latency_target):
    """Return by how many ms a share is too small, negative if it is too large.

    Between equal cost and MARGIN_MS it is right as it is. No margin applies where home
    would miss the latency target and the destination would not.
    """
    difference = home_delay - cost
    if difference < 0 or cost <= latency_target < home_delay:
        return difference
    return max(0, difference - MARGIN_MS)


def _bounded(value, limit):
    return max(0.0, min(limit, value))
