"""Event counters, kept in memory for `status` and optionally sent to statsd."""

from collections import Counter

from statsd import StatsClient


class Counters:
    """Counters by dotted name, such as `refusal.over_rate`.

    `client` is the statsd client that updates are also sent to, or None.
    """

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
        """Send a duration in ms to statsd; it is not kept in memory."""
        if self._client is not None:
            self._client.timing(name, duration)


def statsd_counters(address):
    """Return Counters that also send to the statsd server at `address` (host:port).

    With an empty `address`, counters are only kept in memory.
    """
    if not address:
        return Counters()
    host, port = address.rsplit(":", 1)
    return Counters(StatsClient(host, int(port), prefix="mulberryhub"))
