"""Keeps verdicts on requests in the platform's store, which outlives all routers."""

from mulberryhub.base.green import sleep
from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_task
from mulberryhub.fleet.records import Verdict
from mulberryhub.fleet.store import StoreUnavailable

TRIES = 5
PAUSE = 1_000  # ms between two tries

log = module_logger(__name__)


def verdict_saver(store, clock):
    """Return the function that saves a Suspect in `store` in the background."""

    def save(suspect):
        spawn_task(_save, store, Verdict(suspect, clock.wall()))

    return save


def _save(store, verdict):
    for _ in range(TRIES):
        try:
            store.put_verdict(verdict)
        except StoreUnavailable as error:
            reason = str(error)
            sleep(PAUSE / 1000)
        else:
            return
    # Routers that run know it all the same, and tell those that start.
    log.warning(
        "verdict not saved", fingerprint=verdict.suspect.fingerprint, reason=reason
    )
