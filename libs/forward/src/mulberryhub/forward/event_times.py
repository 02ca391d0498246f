"""The times at which the events of an answer arrived."""

# Of the time between the first and the last event, in which writing to the client may
# block. Beyond that the pauses are those of the client, not of the upstream.
MAX_BLOCKED_SHARE = 0.1
MIN_PAUSE_TOKENS = 8  # for pauses to tell a speed
MIN_PAUSES_MS = 20  # in total, as times are whole ms


class EventTimes:
    """The arrival (ms) and the id of an answer's first and last event.

    `blocked` is the time in ms for which writing to the client blocked.
    """

    __slots__ = ("first_at", "first_id", "last_at", "last_id", "blocked")

    def __init__(self):
        self.first_at = None
        self.first_id = None
        self.last_at = None
        self.last_id = None
        self.blocked = 0

    def record(self, id, now):
        """Record that the event `id` and those before it have arrived."""
        if self.first_at is None:
            self.first_at = now
            self.first_id = id
        self.last_at = now
        self.last_id = id

    def record_blocked(self, duration):
        """Record that writing to the client blocked for `duration` ms."""
        self.blocked += duration

    def pause_per_token(self):
        """Return the mean pause in ms for each token, or None if it is not known."""
        if self.first_at is None:
            return None
        pauses = self.last_at - self.first_at
        tokens = self.last_id - self.first_id
        if tokens < MIN_PAUSE_TOKENS or pauses < MIN_PAUSES_MS:
            return None
        if self.blocked > MAX_BLOCKED_SHARE * pauses:
            return None
        return pauses / tokens
