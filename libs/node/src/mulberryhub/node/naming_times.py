"""Saves in the store when weights were named, for routers that start later."""

from mulberryhub.base.green import sleep
from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_service
from mulberryhub.fleet.store import StoreUnavailable

CHECK_INTERVAL_MS = 100
RETRY_DELAY_MS = 1_000  # after a failed attempt

log = module_logger(__name__)


class NamingTimesSaver:
    """Saves the times that this router knows, if it reads the store for others.

    `rank()` returns the rank of this router among those, and None at all others. Each
    of them saves its own times, as only its VM can tell their age exactly.
    """

    __slots__ = ("_store", "_named_weights", "_rank")

    def __init__(self, store, named_weights, rank):
        self._store = store
        self._named_weights = named_weights
        self._rank = rank

    def start(self):
        """Start saving in the background."""
        spawn_service(self._run)

    def step(self):
        """Save what is due; raise StoreUnavailable."""
        if self._rank() is None:
            return
        for times in self._named_weights.unstored_times():
            self._store.put_record(times)
            self._named_weights.record_stored(times)
            log.info(
                "times of weights saved",
                model=times.model,
                named_at=times.named_at_by_version,
                boot_id=times.boot_id,
            )

    def _run(self):
        while True:
            try:
                self.step()
            except StoreUnavailable as error:
                log.warning("times of weights not saved", reason=str(error))
                sleep(RETRY_DELAY_MS / 1000)
            sleep(CHECK_INTERVAL_MS / 1000)
