"""Saves in the store when weights were named, for routers that start later."""

from mulberryhub.base.green import sleep
from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_service
from mulberryhub.fleet.store import StoreUnavailable

CHECK_INTERVAL_MS = 100
DEPUTY_DELAY_MS = 1_000  # in which the router that saves first has done so
RETRY_DELAY_MS = 1_000  # after a failed attempt

log = module_logger(__name__)


class NamingTimesSaver:
    """Saves the times that the store lacks, at one router or, if it fails, another.

    `rank()` returns 0 at the router that saves first, 1 at the next and None at all
    others.
    """

    __slots__ = ("_store", "_named_weights", "_rank", "_clock", "_unsaved_since")

    def __init__(self, store, named_weights, rank, clock):
        self._store = store
        self._named_weights = named_weights
        self._rank = rank
        self._clock = clock
        self._unsaved_since = None

    def start(self):
        """Start saving in the background."""
        spawn_service(self._run)

    def step(self):
        """Save what is due; raise StoreUnavailable."""
        unsaved = self._named_weights.unstored_times()
        if not unsaved:
            self._unsaved_since = None
            return
        now = self._clock.now()
        if self._unsaved_since is None:
            self._unsaved_since = now
        rank = self._rank()
        if rank is None or now - self._unsaved_since < rank * DEPUTY_DELAY_MS:
            return
        for times in unsaved:
            self._store.put_record(times)
            self._named_weights.record_stored(times)
            log.info(
                "times of weights saved",
                model=times.model,
                named_at=times.named_at_by_version,
            )

    def _run(self):
        while True:
            try:
                self.step()
            except StoreUnavailable as error:
                log.warning("times of weights not saved", reason=str(error))
                sleep(RETRY_DELAY_MS / 1000)
            sleep(CHECK_INTERVAL_MS / 1000)
