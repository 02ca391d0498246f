"""Counters: kept in the process for `status` and sent to statsd where one is set."""

from collections import Counter

from statsd import StatsClient


class Counters:
    """Counters by dotted name, such as `refusal.over_rate`."""

    __slots__ = ("by_name", "_client")

    def __init__(self, client=None):
        self.by_name = Counter()
        self._client = client

    def add(self, name, amount=1):
        """Add `amount` to the counter `name`."""
        self.by_name[name] += amount
        if self._client is not None:
            self._client.incr(name, amount)

    def timing(self, name, duration):
        """Report a duration in ms."""
        if self._client is not None:
            self._client.timing(name, duration)


def statsd_counters(address):
    """Return counters that also go to the statsd server at `address` (host:port)."""
    if not address:
        return Counters()
    host, port = address.rsplit(":", 1)
    return Counters(StatsClient(host, int(port), prefix="mulberryhub"))
