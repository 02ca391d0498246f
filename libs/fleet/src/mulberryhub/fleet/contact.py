"""When a router heard others, and since when they do not know what it admitted."""

MAX_GAP_MS = 2_000  # without news, in which others still include the last report


class Contact:
    """The contact of this router with the others; all times are clock ms.

    `_shared_until` is the time until which all its admissions are in sums of others,
    and `_unshared_since` the start of a time in which they are in none, or None.
    """

    __slots__ = ("_clock", "_heard_at", "_shared_until", "_unshared_since")

    def __init__(self, clock):
        self._clock = clock
        self._heard_at = self._shared_until = clock.now()
        self._unshared_since = None

    def record_news(self):
        """Record that another router was heard."""
        self._update()
        self._heard_at = self._clock.now()

    def news_age(self):
        """Return the ms since another router was heard, or since the start."""
        return self._clock.now() - self._heard_at

    def take_unshared_since(self):
        """Return since when others do not know what this router admitted, or None.

        It is returned once, as the caller tells them.
        """
        self._update()
        since, self._unshared_since = self._unshared_since, None
        return since

    def _update(self):
        """Note a time without contact, which ends now: the next sums have the rest."""
        now = self._clock.now()
        if now - self._shared_until > MAX_GAP_MS and self._unshared_since is None:
            self._unshared_since = self._shared_until
        self._shared_until = now
