"""The delay that a request is expected to have at an upstream."""


class ExpectedDelay:
    """The work in flight at an upstream, corrected by what is known of the upstream.

    `work(id)` returns the work in flight in ms from all routers. Each of `adjustments`
    is a function `(upstream, service, delay)` that returns the corrected delay in ms;
    they are applied in order.
    """

    __slots__ = ("_work", "_adjustments")

    def __init__(self, work, adjustments=()):
        self._work = work
        self._adjustments = adjustments

    def of(self, upstream, service):
        """Return the expected delay in ms of a request for `service`."""
        delay = self._work(upstream.id)
        for adjust in self._adjustments:
            delay = adjust(upstream, service, delay)
        return delay
