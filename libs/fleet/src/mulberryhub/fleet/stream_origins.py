"""Finds the software version on which a stream began, at any router.

What upstreams of two software versions write does not fit together, so a stream goes on
only at the version that began it. Each router remembers the streams that it began.
While a service has more than one version, or had within the lifetime of a stream, it
also tells them to the others through a log of the store. What cannot be known is never
guessed. See docs/design/streams.md.
"""

from random import random

from mulberryhub.base.green import Timeout, sleep
from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_service
from mulberryhub.fleet.begun_streams import BegunStreams, digest_of
from mulberryhub.fleet.origin_log import OriginLog
from mulberryhub.fleet.software_versions import SoftwareVersions
from mulberryhub.fleet.store import StoreUnavailable

STEP_INTERVAL_MS = 50
APPENDS_PER_S = 100  # of all routers together
MIN_APPEND_INTERVAL_MS = 100
SEARCH_COUNT = 3
SEARCH_PAUSE_MS = 130  # for a batch of another router that is on its way
SEARCH_TIMEOUT_MS = 500  # of all searches, if the store is slow

# Beside the version that was believed, so that there are two and none is taken.
UNCERTAIN = "\x00uncertain"

log = module_logger(__name__)


class OriginUnknown(Exception):
    """The software version that began a stream cannot be known."""


class StreamOrigin:
    """The software version on which a stream began.

    With `is_any`, all upstreams of the service have had this version for as long as a
    stream lasts.
    """

    __slots__ = ("software_version", "is_any")

    def __init__(self, software_version, is_any=False):
        self.software_version = software_version
        self.is_any = is_any


class StreamOrigins:
    """The origins of streams as known to one router.

    `stream_records` are the records of the streams, see `origin_log`, and `marks` those
    of versions, see `software_marks`. `is_coordinator()` returns whether this router
    coordinates others. `pause(s)` waits between two searches.
    """

    __slots__ = (
        "_fleet_state",
        "_clock",
        "_versions",
        "_begun",
        "_log",
        "_next_append_at",
        "_was_mixed",
        "_is_failing",
        "_pause",
    )

    def __init__(
        self, fleet_state, stream_records, marks, is_coordinator, clock, pause=sleep
    ):
        self._fleet_state = fleet_state
        self._clock = clock
        self._versions = SoftwareVersions(fleet_state, marks, is_coordinator, clock)
        self._begun = BegunStreams()
        self._log = OriginLog(stream_records, self._begun.record_all_untold, clock)
        self._next_append_at = 0
        self._was_mixed = False
        self._is_failing = False
        self._pause = pause

    def start(self):
        """Start following versions and telling streams in the background."""
        spawn_service(self._run, self.follow_versions)
        spawn_service(self._run, self.tell_streams)

    def record_begun(self, service, attempt_id, software_version):
        """Record that a resumable stream begins; call it before its first event.

        A stream without an `attempt_id` cannot be taken up.
        """
        if attempt_id is None:
            return
        digest = digest_of(service, attempt_id)
        self._begun.record(service, digest, software_version, self._clock.now())

    def record_uncertain(self, service, attempt_id):
        """Record that it is not known which version began a stream."""
        digest = digest_of(service, attempt_id)
        self._begun.record(service, digest, UNCERTAIN, self._clock.now())

    def may_begin(self, service, software_version):
        """Return whether new resumable streams may begin on `software_version`."""
        return self._versions.may_begin(service, software_version)

    def time_until_begin(self, service):
        """Return the ms after which streams are expected to begin on a new version."""
        return self._versions.time_until_begin(service)

    def find(self, service, attempt_id):
        """Return the StreamOrigin of the stream that an attempt began.

        `attempt_id` is None if the client named none that is usable. Raise
        OriginUnknown. May block for SEARCH_TIMEOUT_MS, 260 ms if the store is fast.
        """
        digest = None if attempt_id is None else digest_of(service, attempt_id)
        self._forget_old()
        known = set() if digest is None else self._begun.software_versions(digest)
        if not known and self._versions.is_uniform(service):
            return StreamOrigin(self._versions.only_version(service), is_any=True)
        if not known and digest is not None:
            with Timeout(SEARCH_TIMEOUT_MS / 1_000, False):
                known = self._search(service, digest)
        if len(known) != 1:
            raise OriginUnknown(f"{service}: {len(known)} versions known")
        return StreamOrigin(known.pop())

    def follow_versions(self):
        """Follow the versions in service once."""
        try:
            self._versions.step()
        except StoreUnavailable as error:
            if not self._is_failing:
                log.warning("marks of software versions lost", reason=str(error))
            self._is_failing = True
        else:
            self._is_failing = False

    def tell_streams(self):
        """Tell the streams of mixed services to other routers, if that is due."""
        self._forget_old()
        services = self._versions.mixed_services()
        now = self._clock.now()
        if services and not self._was_mixed:
            self._next_append_at = max(self._next_append_at, now + self._first_delay())
        self._was_mixed = bool(services)
        if services and now >= self._next_append_at:
            digests = self._begun.untold(services)
            if digests:
                self._next_append_at = now + self._append_interval()
                self._append(digests)

    def _append(self, digests):
        batches = self._begun.batches(digests)
        # Told from now on, as one that begins again meanwhile has to be told again.
        self._begun.record_told(digests)
        try:
            self._log.append(batches)
        except StoreUnavailable as error:
            self._begun.record_told(digests, is_told=False)
            log.warning("streams not told", count=len(digests), reason=str(error))

    def _append_interval(self):
        router_count = len(self._fleet_state.members_by_name)
        return max(MIN_APPEND_INTERVAL_MS, router_count * 1_000 // APPENDS_PER_S)

    def _first_delay(self):
        """Return the ms before the first append, which spreads those of many routers.

        Few routers append at once.
        """
        return int(random() * (self._append_interval() - MIN_APPEND_INTERVAL_MS))

    def _search(self, service, digest):
        """Return the versions that other routers told, after some attempts."""
        for number in range(SEARCH_COUNT):
            if number:
                self._pause(SEARCH_PAUSE_MS / 1_000)
            try:
                self._log.read_new()
            except StoreUnavailable as error:
                log.warning("stream origins not read", reason=str(error))
                return set()
            known = self._log.software_versions(service, digest)
            if known:
                return known
        return set()

    def _forget_old(self):
        oldest = self._clock.now() - self._versions.lifetime()
        self._begun.forget_before(oldest)
        self._log.forget_before(oldest)

    @staticmethod
    def _run(step):
        while True:
            step()
            sleep(STEP_INTERVAL_MS / 1_000)
