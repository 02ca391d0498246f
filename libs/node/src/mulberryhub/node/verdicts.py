"""Saves verdicts on crashing requests in the store, which outlives all routers."""

from mulberryhub.base.green import sleep
from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_task
from mulberryhub.fleet.records import Verdict
from mulberryhub.fleet.store import StoreUnavailable

MAX_SAVE_ATTEMPTS = 5
RETRY_DELAY_MS = 1_000  # after a failed attempt

log = module_logger(__name__)


def verdict_saver(store, clock):
    """Return a function that saves a Suspect in `store` in the background."""

    def save(suspect):
        spawn_task(_save, store, Verdict(suspect, clock.wall()))

    return save


def _save(store, verdict):
    for _ in range(MAX_SAVE_ATTEMPTS):
        try:
            store.put_record(verdict)
        except StoreUnavailable as error:
            reason = str(error)
            sleep(RETRY_DELAY_MS / 1000)
        else:
            return
    # Running routers have the verdict anyway, and send it to routers that start.
    log.warning(
        "verdict not saved", fingerprint=verdict.suspect.fingerprint, reason=reason
    )
