"""Detects pauses of the process, after which what is in force must be confirmed."""

PAUSE_LIMIT = 1_500  # ms
CONFIRMATION_LIMIT = 3_000  # ms
TICK = 200  # ms


class Freshness:
    """Whether the state was confirmed since the process last stood still.

    A router that was paused may have missed changes. It serves again once the log
    or a peer has answered a question asked after the pause, or when neither has
    answered within CONFIRMATION_LIMIT.
    """

    __slots__ = ("_clock", "_counters", "_last_tick", "_resumed")

    def __init__(self, clock, counters):
        self._clock = clock
        self._counters = counters
        self._last_tick = clock.now()
        self._resumed = None

    def check(self):
        """Return whether the state is fresh; call it at least every TICK ms."""
        now = self._clock.now()
        if now - self._last_tick > PAUSE_LIMIT:
            self._counters.add("config.paused")
            self._resumed = now
        self._last_tick = now
        if self._resumed is not None and now - self._resumed > CONFIRMATION_LIMIT:
            self._counters.add("config.unconfirmed")
            self._resumed = None
        return self._resumed is None

    def confirm(self, asked):
        """Note that the state held, by an answer to a question asked at `asked`."""
        self.check()
        if self._resumed is not None and asked >= self._resumed:
            self._resumed = None
