"""Detects process pauses, after which the configuration must be confirmed again."""

from mulberryhub.base.logs import module_logger

MAX_CHECK_GAP_MS = 1_500
CONFIRMATION_TIMEOUT_MS = 3_000
CHECK_INTERVAL_MS = 200

log = module_logger(__name__)


class Freshness:
    """Tracks whether the state was confirmed since the last pause of the process.

    A router whose process was paused may have missed changes. It must not serve
    until the log or a peer has answered a request sent after the pause. If neither
    answers within CONFIRMATION_TIMEOUT_MS, the state counts as fresh again.
    """

    __slots__ = ("_clock", "_counters", "_last_check", "_unconfirmed_since")

    def __init__(self, clock, counters):
        self._clock = clock
        self._counters = counters
        self._last_check = clock.now()
        self._unconfirmed_since = None

    def start(self):
        """Begin to watch for pauses; call this before the state is first requested."""
        self._last_check = self._clock.now()

    def check(self):
        """Return whether the state is fresh.

        A gap of more than MAX_CHECK_GAP_MS between calls counts as a pause of the
        process, so call this about every CHECK_INTERVAL_MS.
        """
        now = self._clock.now()
        pause = now - self._last_check
        if pause > MAX_CHECK_GAP_MS:
            self._counters.add("config.paused")
            log.warning("paused for {} ms; must be confirmed", pause)
            self._unconfirmed_since = now
        self._last_check = now
        if (
            self._unconfirmed_since is not None
            and now - self._unconfirmed_since > CONFIRMATION_TIMEOUT_MS
        ):
            self._counters.add("config.unconfirmed")
            self._unconfirmed_since = None
        return self._unconfirmed_since is None

    def confirm(self, request_time):
        """Mark the state as fresh if `request_time` is not before the last pause.

        `request_time` is when the request was sent whose answer confirms the state.
        """
        self.check()
        if (
            self._unconfirmed_since is not None
            and request_time >= self._unconfirmed_since
        ):
            self._unconfirmed_since = None
