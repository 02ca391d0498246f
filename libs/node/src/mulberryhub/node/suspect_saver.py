"""Saves what speaks against requests without a verdict, for routers that start later.

A kill of all routers would otherwise make a request that crashes its upstreams look
sound again.
"""

from mulberryhub.base.green import sleep
from mulberryhub.base.logs import error_text, module_logger
from mulberryhub.base.tasks import spawn_service
from mulberryhub.fleet.records import SavedSuspects
from mulberryhub.fleet.store import StoreUnavailable

CHECK_INTERVAL_MS = 100
MIN_SAVE_INTERVAL_MS = 1_000  # also after a failed attempt
MAX_SAVED_SUSPECTS = 64

log = module_logger(__name__)


class SuspectSaver:
    """Saves the undecided suspects of all routers, if this router coordinates them.

    `name` is that of this router. `is_coordinator()` returns whether it coordinates
    the others. There is at most one write for each crash of an upstream, and none
    without crashes.
    """

    __slots__ = (
        "_name",
        "_suspects",
        "_store",
        "_is_coordinator",
        "_clock",
        "_seen_revision",
        "_saved",
    )

    def __init__(self, name, suspects, store, is_coordinator, clock):
        self._name = name
        self._suspects = suspects
        self._store = store
        self._is_coordinator = is_coordinator
        self._clock = clock
        self._seen_revision = suspects.revision
        self._saved = []

    def start(self):
        """Start saving in the background."""
        spawn_service(self._run)

    def save_again(self):
        """Save at the next step, as the store has lost its newest records."""
        self._saved = []
        self._seen_revision = None

    def step(self):
        """Save what changed, and return whether there was a write.

        Raise StoreUnavailable.
        """
        revision = self._suspects.revision
        if revision == self._seen_revision or not self._is_coordinator():
            return False
        suspects = self._suspects.undecided(MAX_SAVED_SUSPECTS)
        is_new = suspects != self._saved
        if is_new:
            record = SavedSuspects(self._name, self._clock.wall(), suspects)
            self._store.put_record(record)
        self._saved = suspects
        self._seen_revision = revision
        return is_new

    def _run(self):
        while True:
            interval = CHECK_INTERVAL_MS
            try:
                if self.step():
                    interval = MIN_SAVE_INTERVAL_MS
            except StoreUnavailable as error:
                log.warning("suspects not saved", reason=error_text(error))
                interval = MIN_SAVE_INTERVAL_MS
            sleep(interval / 1000)
