"""Which software versions upstreams stated, and whether any record was missed."""


class SeenSoftware:
    """When each software version was last stated in a record of an upstream.

    `skip_count` is how often the upstreams became known up to a later position without
    each record before it, as a listing and other routers send only the newest ones.
    """

    __slots__ = ("skip_count", "_seen_at_by_key", "_clock")

    def __init__(self, clock):
        self.skip_count = 0
        self._seen_at_by_key = {}
        self._clock = clock

    def record(self, upstream):
        """Record the version in a record of an upstream, be it outdated or not."""
        key = (upstream.service, upstream.software_version)
        self._seen_at_by_key[key] = self._clock.now()

    def record_skip(self):
        """Record that upstreams may have come and gone unseen."""
        self.skip_count += 1

    def last_stated(self, service, version):
        """Return when a version was last stated (clock ms), 0 if it never was."""
        return self._seen_at_by_key.get((service, version), 0)
