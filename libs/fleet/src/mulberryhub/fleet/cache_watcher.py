"""Watches the KV cache store's events on behalf of the routers of a data centre."""

import msgspec

from mulberryhub.base.green import sleep
from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_service
from mulberryhub.fleet.records import CachedPart

IDLE_CHECK_INTERVAL_MS = 200  # between checks of `should_watch()`
RETRY_DELAY_MS = 500  # after a failed read
BATCH_DELAY_MS = 150  # between reads, so that one answer has several events

log = module_logger(__name__)


class CacheEvents(msgspec.Struct):
    """Changed parts up to the event number `next`; `is_lost` reports a gap before."""

    epoch: int
    next: int
    is_lost: bool
    parts: list[CachedPart]


class CacheStoreUnavailable(Exception):
    """The KV cache store gave no usable answer."""


class CacheWatcher:
    """Keeps the cache index up to date while `should_watch()` returns true.

    `find_address()` returns the store's address or None. `read_events(address, since)`
    is a long poll that returns CacheEvents; `read_all(address)` returns CacheEvents for
    all parts in the store. Both raise CacheStoreUnavailable.
    """

    __slots__ = (
        "_find_address",
        "_read_events",
        "_read_all",
        "_fleet_state",
        "_should_watch",
        "_clock",
        "_next_number",
        "_epoch",
        "_clear_count",
        "_is_failing",
    )

    def __init__(
        self, find_address, read_events, read_all, fleet_state, should_watch, clock
    ):
        self._find_address = find_address
        self._read_events = read_events
        self._read_all = read_all
        self._fleet_state = fleet_state
        self._should_watch = should_watch
        self._clock = clock
        self._next_number = None
        self._epoch = None
        self._clear_count = None
        self._is_failing = False

    def start(self):
        """Start the watcher in the background."""
        spawn_service(self._run)

    def step(self, address):
        """Read once and apply the answer; raise CacheStoreUnavailable."""
        requested_at = self._clock.now()
        if self._next_number is None:
            events = self._read_all(address)
        else:
            events = self._read_events(address, self._next_number)
        cache_index = self._fleet_state.cache_index
        cache_index.restart(events.epoch)
        if self._next_number is not None and self._lacks_parts(events):
            self._next_number = None
            return
        self._epoch = events.epoch
        self._clear_count = cache_index.clear_count
        for part in events.parts:
            self._fleet_state.apply(part)
        self._next_number = events.next
        cache_index.mark_current(requested_at)

    def _lacks_parts(self, events):
        """Return whether the index lacks parts from before `events`.

        Another router may have told the store's new start already, or an earlier one
        that cleared the index.
        """
        cache_index = self._fleet_state.cache_index
        return (
            events.is_lost
            or events.epoch != self._epoch
            or cache_index.clear_count != self._clear_count
        )

    def _run(self):
        while True:
            address = self._find_address() if self._should_watch() else None
            if address is None:
                self._next_number = None
                sleep(IDLE_CHECK_INTERVAL_MS / 1000)
                continue
            try:
                self.step(address)
                self._set_failing(False, None)
                sleep(BATCH_DELAY_MS / 1000)
            except CacheStoreUnavailable as error:
                self._set_failing(True, error)
                sleep(RETRY_DELAY_MS / 1000)

    def _set_failing(self, is_failing, error):
        if is_failing != self._is_failing:
            self._is_failing = is_failing
            if is_failing:
                log.info("store of kept cache lost", reason=str(error))
            else:
                log.info("store of kept cache regained")
