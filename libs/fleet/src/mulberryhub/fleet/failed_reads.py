"""Reads of a topic that failed, one after the other, since the last answered one."""

MAX_READ_GAP_MS = 3_000  # between failed reads, above which the time between is unknown


class FailedReads:
    """The start of the last read that failed, without a pause since the last answer.

    A store that is away for all names nothing new. It may also refuse one router and
    serve the operator, so this is no more than an assumption.
    """

    __slots__ = ("_called_at",)

    def __init__(self):
        self._called_at = None

    def record(self, called_at, as_of):
        """Record that a read that started at `called_at` ms failed.

        The topic is known as of `as_of` ms, or None. A router that stood still since
        its last read knows nothing of the time between.
        """
        known = [time for time in (as_of, self._called_at) if time is not None]
        if known and called_at - max(known) <= MAX_READ_GAP_MS:
            self._called_at = max(called_at, *known)

    def last_after(self, as_of):
        """Return the start in ms of the last failed read if it is after `as_of` ms.

        Return None if it is not, or if `as_of` is None.
        """
        if as_of is None or self._called_at is None or self._called_at <= as_of:
            return None
        return self._called_at
