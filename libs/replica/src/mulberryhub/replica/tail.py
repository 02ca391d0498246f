"""Reads the configuration stream of the log continuously."""

from random import uniform

from mulberryhub.base.green import sleep
from mulberryhub.base.logs import module_logger
from mulberryhub.external.log import LogUnavailable, OffsetExpired
from mulberryhub.replica.records import CONFIG_STREAM

LONG_POLL_MS = 2_000
RETRY_DELAY_MS = 200
MAX_RETRY_DELAY_MS = 1_000

log = module_logger(__name__)


class LogTailer:
    """Reads the log and applies its pages to the active configuration.

    `is_readable` tells whether the log answered the last read. `observe(page)` is
    called after each page.
    """

    __slots__ = (
        "is_readable",
        "_log",
        "_clock",
        "_counters",
        "_active_config",
        "_observe",
        "_failure_count",
    )

    def __init__(self, log_client, clock, counters, active_config, observe):
        self.is_readable = False
        self._log = log_client
        self._clock = clock
        self._counters = counters
        self._active_config = active_config
        self._observe = observe
        self._failure_count = 0

    def run(self):
        """Read pages forever, with growing pauses while the log is unavailable."""
        while True:
            request_time = self._clock.now()
            try:
                page = self._log.read(
                    CONFIG_STREAM,
                    self._active_config.replayer.next_offset,
                    wait=self._poll_wait(),
                )
            except OffsetExpired as expired:
                self._record_success()
                self._active_config.skip_to(expired.oldest)
            except LogUnavailable as error:
                self._record_failure(error)
                sleep(self._retry_delay())
            else:
                self._apply_page(page, request_time)

    def _poll_wait(self):
        """Return how long in ms the log may hold a read until records arrive.

        It is 0 until the state is caught up and fresh, so that the log answers at
        once.
        """
        active_config = self._active_config
        is_current = active_config.is_caught_up and active_config.freshness.check()
        return LONG_POLL_MS if is_current else 0

    def _apply_page(self, page, request_time):
        self._record_success()
        if page.end < self._active_config.state.position:
            self._counters.add("config.log_went_back")
        self._active_config.apply_page(page, request_time)
        self._observe(page)
        if not page.records and not self._active_config.is_caught_up:
            sleep(RETRY_DELAY_MS / 1000)

    def _record_failure(self, error):
        self._counters.add("retry.config_read")
        self._failure_count += 1
        if self.is_readable or self._failure_count == 1:
            log.warning("the log is unavailable: {}", error)
        self.is_readable = False

    def _record_success(self):
        if not self.is_readable:
            log.info("the log is available")
        self.is_readable = True
        self._failure_count = 0

    def _retry_delay(self):
        """Return a pause in s that grows with the failure count, with jitter."""
        limit = min(
            RETRY_DELAY_MS * 2 ** min(self._failure_count, 8), MAX_RETRY_DELAY_MS
        )
        return uniform(limit / 2, limit) / 1000
