"""Follows the events of the store of kept KV cache for the routers of a data centre."""

import msgspec

from mulberryhub.base.green import sleep
from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_task
from mulberryhub.fleet.records import KeptPart

IDLE_PAUSE = 200  # ms between looks whether this router is to watch
FAILURE_PAUSE = 500  # ms
GATHERING = 150  # ms in which events gather into one answer

log = module_logger(__name__)


class KeptEvents(msgspec.Struct):
    """Parts that changed, up to the number `next`; `is_lost` tells of a gap."""

    epoch: int
    next: int
    is_lost: bool
    parts: list[KeptPart]


class KeptUnavailable(Exception):
    """The store of kept KV cache gave no answer that can be used."""


class KeptWatcher:
    """Watches while `should_watch()`.

    `find_address()` returns the store's address or None. `read_events(address,
    since)` returns KeptEvents after a wait at the store, `read_all(address)` those of
    all that it holds; both raise KeptUnavailable.
    """

    __slots__ = (
        "_find_address",
        "_read_events",
        "_read_all",
        "_beliefs",
        "_should_watch",
        "_clock",
        "_next",
        "_is_failing",
    )

    def __init__(
        self, find_address, read_events, read_all, beliefs, should_watch, clock
    ):
        self._find_address = find_address
        self._read_events = read_events
        self._read_all = read_all
        self._beliefs = beliefs
        self._should_watch = should_watch
        self._clock = clock
        self._next = None
        self._is_failing = False

    def start(self):
        """Watch in the background."""
        spawn_task(self._run)

    def step(self, address):
        """Read once and apply what came; raise KeptUnavailable."""
        asked = self._clock.now()
        if self._next is None:
            events = self._read_all(address)
        else:
            events = self._read_events(address, self._next)
        kept = self._beliefs.kept
        if self._next is not None and (events.is_lost or events.epoch != kept.epoch):
            self._next = None
            kept.restart(events.epoch)
            return
        kept.restart(events.epoch)
        for part in events.parts:
            self._beliefs.learn(part)
        self._next = events.next
        kept.heard(asked)

    def _run(self):
        while True:
            address = self._find_address() if self._should_watch() else None
            if address is None:
                self._next = None
                sleep(IDLE_PAUSE / 1000)
                continue
            try:
                self.step(address)
                self._note(False, None)
                sleep(GATHERING / 1000)
            except KeptUnavailable as error:
                self._note(True, error)
                sleep(FAILURE_PAUSE / 1000)

    def _note(self, is_failing, error):
        if is_failing != self._is_failing:
            self._is_failing = is_failing
            if is_failing:
                log.info("store of kept cache lost", reason=str(error))
            else:
                log.info("store of kept cache regained")
