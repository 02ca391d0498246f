"""Tells on which software versions streams may have begun, and may begin.

A version is marked in the store before streams begin on it, so a router that starts
learns from the marks what happened before. From then on it watches the upstreams. The
first mark of a version is written once it was in service for SETTLING_TIME_MS, when
every router whose view is current has seen it. Streams begin on it if it is in service
still after the mark was written: a router that read the marks before has then seen it.
"""

from random import random

from mulberryhub.base.logs import module_logger
from mulberryhub.fleet.mark_removal import MarkRemover
from mulberryhub.fleet.service_versions import ServiceVersions
from mulberryhub.fleet.software_marks import SoftwareMark
from mulberryhub.fleet.sources import MAX_CURRENT_AGE_MS
from mulberryhub.fleet.store import StoreUnavailable
from mulberryhub.fleet.stream_lifetime import STREAM_LIFETIME_MS, stream_lifetime
from mulberryhub.fleet.view_coverage import ViewCoverage

SERVING_AFTER_REMOVAL_MS = 10_000  # for which an upstream that left may still serve
SETTLING_TIME_MS = MAX_CURRENT_AGE_MS + 100
FOLLOWER_DELAY_MS = 200  # before other routers look for the mark of the coordinator
READS_PER_S = 400  # of all routers that look for it
RETRY_DELAY_MS = 500
MAX_UNRELIABLE_READS = 4  # before any router restores the marks
MEMORY_MS = 600_000  # of versions that left
USE_TIME_MS = 2_500  # from the first sight of a version until streams begin on it

log = module_logger(__name__)


class SoftwareVersions:
    """The versions of all services; `marks` are the store's, see `software_marks`.

    `is_coordinator()` returns whether this router is the first to write marks, and
    removes them.
    """

    __slots__ = (
        "_fleet_state",
        "_marks",
        "_is_coordinator",
        "_clock",
        "_coverage",
        "_versions_by_service",
        "_is_changed",
        "_may_begin_unmarked",
        "_is_informed",
        "_unknown_until",
        "_next_call_at",
        "_unreliable_reads",
        "_spread",
        "_remover",
        "_lifetime",
    )

    def __init__(self, fleet_state, marks, is_coordinator, clock):
        self._fleet_state = fleet_state
        self._marks = marks
        self._is_coordinator = is_coordinator
        self._clock = clock
        self._coverage = ViewCoverage(fleet_state, clock)
        self._versions_by_service = {}
        self._is_changed = True
        self._may_begin_unmarked = False
        self._is_informed = False
        self._unknown_until = 0
        self._next_call_at = 0
        self._unreliable_reads = 0
        self._spread = random()
        self._remover = MarkRemover(marks, clock)
        self._lifetime = STREAM_LIFETIME_MS
        fleet_state.on_change(self._record_change)

    def lifetime(self):
        """Return for how long in ms a client may take up a stream that began."""
        return self._lifetime

    def may_begin(self, service, version):
        """Return whether new streams may begin at upstreams of `version`.

        While the store has given no answer since this process started, they may where
        a service has one version only. So they may where no other one was ever known,
        in the moment until that one is marked.
        """
        self._refresh()
        versions = self._versions_by_service.get(service)
        if versions is None:
            return False
        if self._may_begin_unmarked:
            return versions.first_seen_by_version.keys() == {version}
        if version in versions.usable:
            return True
        is_settled = self._is_informed and self._coverage.is_covered()
        return is_settled and versions.is_only(version)

    def time_until_begin(self, service):
        """Return the ms after which streams are expected to begin on a new version."""
        versions = self._versions_by_service.get(service)
        seen = {} if versions is None else versions.first_seen_by_version
        waiting = [at for version, at in seen.items() if version not in versions.usable]
        earliest = min(waiting, default=self._clock.now())
        return max(0, earliest + USE_TIME_MS - self._clock.now())

    def is_uniform(self, service):
        """Return whether all streams that clients may take up have one version."""
        self._refresh()
        if not self._coverage.is_covered() or self._clock.now() < self._unknown_until:
            return False
        return len(self._possible(service)) == 1

    def only_version(self, service):
        """Return the version of all streams of a service that is uniform."""
        return next(iter(self._possible(service)))

    def mixed_services(self):
        """Return the services of which other routers have to know the streams."""
        is_unknown = self._clock.now() < self._unknown_until
        return {
            service
            for service in self._versions_by_service
            if is_unknown or len(self._possible(service)) > 1
        }

    def step(self):
        """Read and write marks as far as needed; raise StoreUnavailable."""
        self._refresh()
        if self._clock.now() < self._next_call_at:
            return
        if not self._coverage.is_current():
            self._permit_unmarked()
            return
        try:
            if not self._coverage.is_covered():
                self._read_marks()
                return
            for versions in self._versions_by_service.values():
                versions.record_seen(self._coverage.as_of)
            if not self._is_informed and self._clock.now() >= self._unknown_until:
                self._become_informed()
            elif not self._mark_new_versions() and self._is_coordinator():
                self._remover.step(self._absent_keys(), self._absence())
        except StoreUnavailable:
            self._next_call_at = self._clock.now() + RETRY_DELAY_MS
            self._permit_unmarked()
            raise

    def _permit_unmarked(self):
        """Serve without marks a router that has upstreams but never had a store."""
        if not self._coverage.was_covered():
            self._may_begin_unmarked = self._coverage.is_known()

    def _record_change(self):
        self._is_changed = True

    def _absence(self):
        """Return the ms without a version after which none of its streams goes on."""
        return self.lifetime() + SERVING_AFTER_REMOVAL_MS

    def _possible(self, service):
        versions = self._versions_by_service.get(service)
        if versions is None:
            return set()
        return versions.possible(self._clock.now() - self._absence())

    def _refresh(self):
        """Take over the versions of the upstreams that are known now."""
        if not self._is_changed:
            return
        self._is_changed = False
        self._lifetime = stream_lifetime(self._fleet_state.configuration)
        now = self._clock.now()
        in_service = {}
        for upstream in self._fleet_state.upstreams_by_id.values():
            versions = in_service.setdefault(upstream.service, set())
            versions.add(upstream.software_version)
        for service in in_service.keys() - self._versions_by_service.keys():
            self._versions_by_service[service] = ServiceVersions()
        for service, versions in self._versions_by_service.items():
            versions.replace(in_service.get(service, set()), now)
            versions.forget_before(now - MEMORY_MS)

    def _read_marks(self):
        """Learn from the marks what this router did not see, then rely on its view."""
        gap_count = self._coverage.gap_count
        listing = self._marks.read()
        if self._has_to_wait(listing):
            self._next_call_at = self._clock.now() + RETRY_DELAY_MS
            return
        if self._is_informed:
            self._restore_marks(listing)
        self._refresh()
        if not self._coverage.is_current() or self._coverage.gap_count != gap_count:
            return
        if listing.is_reliable:
            self._is_informed = True
        else:
            self._unknown_until = self._clock.now() + self._absence()
        self._unreliable_reads = 0
        is_complete = listing.is_reliable and self._coverage.is_complete()
        self._coverage.cover(gap_count)
        self._may_begin_unmarked = False
        self._apply(listing, is_first=True, is_complete=is_complete)

    def _has_to_wait(self, listing):
        """Return whether another router is to restore the marks first."""
        if listing.is_reliable or not self._is_informed or self._is_coordinator():
            return False
        self._unreliable_reads += 1
        return self._unreliable_reads < MAX_UNRELIABLE_READS

    def _become_informed(self):
        """Rely on what this router saw itself for as long as streams last."""
        if self._is_coordinator():
            self._restore_marks(self._marks.read())
        self._is_informed = True

    def _restore_marks(self, listing):
        """Write the marks again that a store from an older copy may have lost."""
        keys = self._begun_keys() - listing.keys
        if not listing.is_reliable:
            keys |= listing.keys
        if keys:
            log.warning("marks of software versions restored", count=len(keys))
            self._marks.put([SoftwareMark(*key) for key in keys])

    def _begun_keys(self):
        """Return the services and versions on which this router saw streams begin."""
        return {
            (service, version)
            for service, versions in self._versions_by_service.items()
            for version in self._possible(service)
            if version in versions.usable
            or version not in versions.first_seen_by_version
        }

    def _apply(self, listing, is_first=False, is_complete=False):
        """Apply the marks; after a gap (`is_first`), only they make versions usable.

        If each record was read (`is_complete`), the view tells when versions left.
        """
        now = self._clock.now()
        for mark in listing.marks:
            versions = self._versions_by_service.setdefault(
                mark.service, ServiceVersions()
            )
            version = mark.software_version
            if is_complete and version in versions.possible(0):
                last_stated = self._fleet_state.seen_software.last_stated
                versions.record_stated(version, last_stated(mark.service, version))
            elif is_first or version not in versions.possible(0):
                versions.record_possible(version, now)
        open_keys = {mark.key for mark in listing.marks if not mark.is_closing}
        for service, versions in self._versions_by_service.items():
            in_service = set(versions.first_seen_by_version)
            marked = {item for item in in_service if (service, item) in open_keys}
            if is_first:
                versions.record_unmarked(in_service - marked)
            for version in marked:
                versions.record_marked(version, now)

    def _mark_new_versions(self):
        """Make versions usable that have settled; return whether there were any."""
        keys = self._settled_keys()
        if not keys:
            return False
        listing = self._marks.read()
        if not self._coverage.is_covered():
            return True
        self._apply(listing)
        unmarked = [key for key in self._settled_keys() if key in keys]
        if unmarked:
            self._marks.put([SoftwareMark(*key) for key in unmarked])
            self._refresh()
        if self._coverage.is_covered():
            for service, version in unmarked:
                log.info("software version in use", service=service, version=version)
                versions = self._versions_by_service[service]
                versions.record_marked(version, self._clock.now())
        return True

    def _settled_keys(self):
        """Return the services and versions that are due to be used."""
        delay = 0
        if not self._is_coordinator():
            router_count = len(self._fleet_state.members_by_name)
            delay = FOLLOWER_DELAY_MS
            delay += int(self._spread * router_count * 1_000 / READS_PER_S)
        latest = min(self._coverage.as_of, self._clock.now() - delay)
        latest -= SETTLING_TIME_MS
        return [
            (service, version)
            for service, versions in self._versions_by_service.items()
            for version in versions.unmarked()
            if versions.first_seen_by_version[version] <= latest
            or versions.is_only(version)
        ]

    def _absent_keys(self):
        """Return the services and versions whose marks may be removed."""
        oldest = self._clock.now() - self._absence()
        return [
            (service, version)
            for service, versions in self._versions_by_service.items()
            for version in versions.possible(0) - versions.possible(oldest)
        ]
