"""Reads the log's stream of the configuration for as long as the router runs."""

from random import uniform

from mulberryhub.base.green import sleep
from mulberryhub.base.logs import module_logger
from mulberryhub.external.log import LogUnavailable, OffsetExpired
from mulberryhub.replica.records import STREAM

LONG_POLL = 2_000  # ms
RETRY_DELAY = 200  # ms
RETRY_DELAY_LIMIT = 1_000  # ms

log = module_logger(__name__)


class Tail:
    """The reader of the log, with whether its last read was answered.

    `observe(page)` is called after each page.
    """

    __slots__ = (
        "is_readable",
        "_log",
        "_clock",
        "_counters",
        "_in_force",
        "_observe",
        "_failures",
    )

    def __init__(self, log_client, clock, counters, in_force, observe):
        self.is_readable = False
        self._log = log_client
        self._clock = clock
        self._counters = counters
        self._in_force = in_force
        self._observe = observe
        self._failures = 0

    def run(self):
        """Read pages forever, with a growing pause while the log is down."""
        while True:
            asked = self._clock.now()
            try:
                page = self._log.read(
                    STREAM, self._in_force.replayer.start, wait=self._wait()
                )
            except OffsetExpired as expired:
                self._note_answer()
                self._in_force.skip_to(expired.oldest)
            except LogUnavailable as error:
                self._note_outage(error)
                sleep(self._retry_delay())
            else:
                self._take_page(page, asked)

    def _wait(self):
        """Return how long the log may hold a read in ms."""
        in_force = self._in_force
        is_current = in_force.is_caught_up and in_force.freshness.check()
        return LONG_POLL if is_current else 0

    def _take_page(self, page, asked):
        self._note_answer()
        if page.end < self._in_force.state.position:
            self._counters.add("config.log_went_back")
        self._in_force.take_page(page, asked)
        self._observe(page)
        if not page.records and not self._in_force.is_caught_up:
            sleep(RETRY_DELAY / 1000)

    def _note_outage(self, error):
        self._counters.add("retry.config_read")
        self._failures += 1
        if self.is_readable or self._failures == 1:
            log.warning("the log is unavailable: {}", error)
        self.is_readable = False

    def _note_answer(self):
        if not self.is_readable:
            log.info("the log is readable")
        self.is_readable = True
        self._failures = 0

    def _retry_delay(self):
        """Return a pause in s that grows with the failures, with jitter."""
        limit = min(RETRY_DELAY * 2 ** min(self._failures, 8), RETRY_DELAY_LIMIT)
        return uniform(limit / 2, limit) / 1000
