"""The router's merged view of the fleet, with the time as of which it is current.

Records merge in an order that the platform's store defines: configurations and weights
by version, upstreams and members by the offset of their record. The result therefore
does not depend on the order in which the store or other routers deliver records, and no
newer record is replaced by an older one.
"""

from enum import StrEnum

from mulberryhub.base.green import Event
from mulberryhub.base.logs import module_logger
from mulberryhub.fleet.cache_index import CacheIndex
from mulberryhub.fleet.changes import ChangeLog
from mulberryhub.fleet.departures import Departures
from mulberryhub.fleet.earlier_admissions import EarlierAdmissions
from mulberryhub.fleet.failed_reads import FailedReads
from mulberryhub.fleet.leaders import ranked
from mulberryhub.fleet.named_weights import NamedWeights
from mulberryhub.fleet.outdated import OutdatedFilter
from mulberryhub.fleet.rate_limits import RateLimits
from mulberryhub.fleet.records import (
    CachedPart,
    Configuration,
    Departure,
    Member,
    NamingTimes,
    Observation,
    RateLimit,
    Removal,
    SavedAdmissions,
    SavedSuspects,
    Suspect,
    Upstream,
    Verdict,
    Weights,
)
from mulberryhub.fleet.release_records import ReleaseOrder, ReleaseState
from mulberryhub.fleet.releases import Releases
from mulberryhub.fleet.rollout import Rollout
from mulberryhub.fleet.running_versions import RunningVersions
from mulberryhub.fleet.seen_software import SeenSoftware
from mulberryhub.fleet.suspects import Suspects
from mulberryhub.fleet.upstream_changes import is_relevant_change, log_upstream

REMOVAL_RETENTION_MS = 120_000  # to ignore late records of removed upstreams
OUTAGE_THRESHOLD_MS = 1_500  # without current data before records may expire
ROLLOUT_TIMEOUT_MS = 4_000  # without progress before a rollout is abandoned
UNKNOWN_POSITION = -1  # position or time of a topic without any data

log = module_logger(__name__)


class Topic(StrEnum):
    """The topics of the platform's store that routers follow."""

    OPERATOR = "operator"
    UPSTREAMS = "upstreams"
    MEMBERS = "members"


class FleetState:
    """The newest known records, and how far and as of when each topic is known.

    `ranked_by_data_centre` has the members of each data centre by rank, the first
    candidate for leader first. `position_by_topic` is the offset of the next record,
    and `as_of_by_topic` the time in ms as of which nothing newer was in the store.
    `regained_at_by_topic` is when current data was received again, from any source,
    after a gap of more than OUTAGE_THRESHOLD_MS. `listed_up_to` is the end of the last
    complete listing that upstreams were compared with. `operator_absent_at` is the last
    time in ms at which the operator had certainly written nothing newer, or None.
    `router` and `data_centre` are those of this router.
    """

    __slots__ = (
        "configuration",
        "named_weights",
        "upstreams_by_id",
        "members_by_name",
        "ranked_by_data_centre",
        "rollout",
        "cache_index",
        "suspects",
        "earlier_admissions",
        "rate_limits",
        "seen_software",
        "releases",
        "position_by_topic",
        "as_of_by_topic",
        "regained_at_by_topic",
        "listed_up_to",
        "operator_absent_at",
        "revision",
        "_removed_by_id",
        "_removed_at_by_id",
        "_outdated_filter",
        "_departures",
        "_running_versions",
        "_failed_reads",
        "_changes",
        "_rollout_at",
        "_clock",
        "_listeners",
        "_changed",
    )

    def __init__(self, clock, router="", data_centre=""):
        self.configuration = None
        self.named_weights = NamedWeights(clock, router, data_centre)
        self.upstreams_by_id = {}
        self.members_by_name = {}
        self.ranked_by_data_centre = {}
        self.rollout = Rollout()
        self.cache_index = CacheIndex(clock)
        self.suspects = Suspects(clock)
        self.earlier_admissions = EarlierAdmissions(clock)
        self.rate_limits = RateLimits(clock)
        self.seen_software = SeenSoftware(clock)
        self.releases = Releases(clock)
        self.position_by_topic = dict.fromkeys(Topic, UNKNOWN_POSITION)
        self.as_of_by_topic = dict.fromkeys(Topic, UNKNOWN_POSITION)
        self.regained_at_by_topic = dict.fromkeys(Topic, UNKNOWN_POSITION)
        self.listed_up_to = UNKNOWN_POSITION
        self.revision = 0
        self._removed_by_id = {}
        self._removed_at_by_id = {}
        self._outdated_filter = OutdatedFilter()
        self._departures = Departures()
        self._running_versions = RunningVersions()
        self.operator_absent_at = None
        self._failed_reads = FailedReads()
        self._changes = ChangeLog()
        self._rollout_at = None
        self._clock = clock
        self._listeners = []
        self._changed = Event()

    def on_change(self, listener):
        """Call `listener()` after each change that affects request handling."""
        self._listeners.append(listener)

    def wait_for_change(self):
        """Block until the next change."""
        self._changed.wait()

    def mark_read_up_to(self, topic, position, as_of, is_certain=True):
        """Record that `topic` is known up to `position`, as of `as_of` ms.

        If `position` is UNKNOWN_POSITION, only the time is recorded. It is not certain
        if a message told it, which may have waited.
        """
        if topic is Topic.OPERATOR and is_certain:
            self.record_operator_absent(as_of)
        if position > self.position_by_topic[topic]:
            self.position_by_topic[topic] = position
        before = self.as_of_by_topic[topic]
        if as_of > before:
            self.as_of_by_topic[topic] = as_of
            if as_of - before > OUTAGE_THRESHOLD_MS:
                self.regained_at_by_topic[topic] = self._clock.now()

    def record_operator_absent(self, time):
        """Record that the operator had written nothing newer at `time` ms."""
        known = self.operator_absent_at
        self.operator_absent_at = time if known is None else max(known, time)

    def record_listing(self, end):
        """Record that upstreams were compared with a complete listing as of `end`."""
        self.seen_software.record_skip()
        self.listed_up_to = max(self.listed_up_to, end)

    def age(self, topic):
        """Return the ms since `topic` was current, or None if it never was."""
        as_of = self.as_of_by_topic[topic]
        return None if as_of == UNKNOWN_POSITION else self._clock.now() - as_of

    def apply_configuration(self, configuration):
        """Apply a configuration if it is newer."""
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return
        self.configuration = configuration
        log.info(
            "configuration in force",
            version=configuration.version,
            before=None if known is None else known.version,
            operator_age_ms=self.age(Topic.OPERATOR),
        )
        self._record_and_notify("configuration", configuration)

    def apply_weights(self, weights, as_of=None):
        """Apply what is known of the weights versions that the operator named.

        `as_of` is the time in ms at which its ages held, by default now.
        """
        newest = self.named_weights.newest(weights.model)
        absent_at = self.operator_absent_at
        unreadable_at = self._failed_reads.last_after(absent_at)
        if not self.named_weights.apply(weights, absent_at, unreadable_at, as_of):
            return
        if weights.version > newest:
            log.info(
                "weights named",
                model=weights.model,
                version=weights.version,
                absent_ms=self.age(Topic.OPERATOR),
                told_ages_ms=weights.ages,
            )
        newest = self.named_weights.newest(weights.model)
        known = Weights(weights.model, newest)
        self._record_and_notify(f"weights/{weights.model}", known)

    def apply_told_weights(self, weights, as_of):
        """Apply Weights of another router, whose ages held at `as_of` ms or later.

        Its ages are not believed if `as_of` is None.
        """
        self.apply_weights(
            weights if as_of is not None else weights.without_ages(), as_of
        )

    def apply_naming_times(self, times):
        """Apply when versions were named, as routers keep it in the store."""
        if self.named_weights.apply_times(times):
            newest = self.named_weights.newest(times.model)
            log.info(
                "saved times of weights read",
                model=times.model,
                newest=newest,
                saved_by=times.router,
                wall=self._clock.wall(),
                named_at=times.named_at_by_version,
                known_ages_ms=self.named_weights.with_ages(
                    Weights(times.model, newest)
                ).ages,
            )
            self._record_and_notify(
                f"weights/{times.model}", Weights(times.model, newest)
            )

    def record_unreadable(self, called_at):
        """Record that a read of the operator's topic, begun at `called_at`, failed."""
        self._failed_reads.record(called_at, self.operator_absent_at)

    def apply_upstream(self, upstream):
        """Apply an upstream's own record if it is newer."""
        self.seen_software.record(upstream)
        known = self.upstreams_by_id.get(upstream.id)
        if known is not None and upstream.offset <= known.offset:
            return
        removal = self._removed_by_id.get(upstream.id)
        if removal is not None and upstream.offset <= removal.offset:
            return
        self._removed_by_id.pop(upstream.id, None)
        self.upstreams_by_id[upstream.id] = upstream
        self._running_versions.update(
            upstream.id, upstream.started, upstream.versions_by_model
        )
        if known is None or is_relevant_change(known, upstream):
            log_upstream(upstream)
            self._record_and_notify(f"upstream/{upstream.id}", upstream)

    def apply_stored_upstream(self, upstream):
        """Apply an upstream's record that was read in the store.

        A store that came back from an older copy may list it as it was before. Other
        routers send only records that they believe.
        """
        known = self.upstreams_by_id.get(upstream.id)
        removal = self._removed_by_id.get(upstream.id)
        if not self._outdated_filter.is_outdated(upstream, known, removal):
            self.apply_upstream(upstream)

    def apply_removal(self, removal):
        """Remove an upstream unless a newer record of it is known."""
        known = self.upstreams_by_id.get(removal.id)
        if known is not None and known.offset > removal.offset:
            return
        known_removal = self._removed_by_id.get(removal.id)
        if known_removal is not None and known_removal.offset >= removal.offset:
            return
        self._removed_by_id[removal.id] = removal
        self._removed_at_by_id[removal.id] = self._clock.now()
        self._drop_old_removals()
        self._outdated_filter.record_removal(removal, known)
        if self.upstreams_by_id.pop(removal.id, None) is not None:
            log.info("upstream gone", upstream=removal.id, offset=removal.offset)
        self._record_and_notify(f"upstream/{removal.id}", removal)

    def apply_departure(self, departure):
        """Mark an upstream as shutting down until a later incarnation starts.

        Neither records that it writes afterwards nor its removal cancel the mark.
        """
        if self._departures.apply(departure):
            self._record_and_notify(f"departure/{departure.id}", departure)

    def is_shutting_down(self, upstream):
        """Return whether this incarnation of an upstream announced its shutdown."""
        return self._departures.has(upstream)

    def apply_rate_limit(self, limit):
        """Apply a limit that an upstream declared in an answer to any router."""
        if self.rate_limits.apply(limit):
            self._record_and_notify(f"limit/{limit.id}", limit)

    def apply_suspect(self, suspect):
        """Apply a report on a request during which upstreams ended."""
        self._record_suspect(self.suspects.apply(suspect))

    def apply_verdict(self, verdict):
        """Apply a stored record of a request that is or was quarantined."""
        self._record_suspect(self.suspects.apply_verdict(verdict))

    def apply_saved_suspects(self, saved):
        """Apply a stored record of what speaks against requests without a verdict."""
        for suspect in self.suspects.apply_saved(saved):
            self._record_suspect(suspect)

    def apply_saved_admissions(self, saved):
        """Apply a stored record of what was admitted before this router started."""
        self.earlier_admissions.apply(saved)

    def _record_suspect(self, suspect):
        if suspect is not None:
            self._record_and_notify(_suspect_key(suspect.fingerprint), suspect)
            self.drop_expired_suspects()

    def drop_expired_suspects(self):
        """Drop suspects without recent reports."""
        for fingerprint in self.suspects.drop_expired():
            self._changes.drop(_suspect_key(fingerprint))

    def observations_since(self, revision, exclude_sender=None):
        """Return the observations of routers that were applied after `revision`.

        Those that the router `exclude_sender` sent are left out, if it is given.
        """
        return [
            change.record
            for change in self._changes.since(revision)
            if isinstance(change.record, Observation)
            and (exclude_sender is None or change.sender != exclude_sender)
        ]

    def apply_member(self, member):
        """Apply a member's record if it is newer."""
        known = self.members_by_name.get(member.name)
        if known is not None and member.offset <= known.offset:
            return
        self.members_by_name[member.name] = member
        members = self.members_by_name.values()
        for data_centre in {item.data_centre for item in (member, known) if item}:
            self.ranked_by_data_centre[data_centre] = ranked(members, data_centre)
        log.info("member known", member=member.name, address=member.address)
        self._record_and_notify(f"member/{member.name}", member)

    def apply_cached_part(self, part):
        """Apply a change of what a KV cache store holds."""
        if self.cache_index.apply(part):
            self._record_change(f"kept/{part.salt}/{part.id}", part)

    def apply_release_order(self, order):
        """Apply an order of a release, or its withdrawal, if it is newer."""
        if self.releases.apply_order(order):
            self._record_and_notify(f"release-order/{order.service}", order)

    def apply_release_state(self, state):
        """Apply the state of a release if it is newer."""
        if self.releases.apply_state(state):
            self._record_and_notify(f"release/{state.service}", state)

    def apply_rollout(self, rollout):
        """Apply the progress of a weights rollout if it is newer."""
        if rollout.order <= self.rollout.order:
            return
        self.rollout = rollout
        self._rollout_at = self._clock.now()
        for id, versions in rollout.versions_by_id.items():
            started = rollout.started_by_id.get(id, 0)
            self._running_versions.update(id, started, versions)
        self._record_and_notify()

    def is_rolling_out(self):
        """Return whether a rollout made progress recently."""
        if self._rollout_at is None:
            return False
        return self._clock.now() - self._rollout_at <= ROLLOUT_TIMEOUT_MS

    def loading_ids(self):
        """Return the ids of upstreams that are loading new weights or are about to."""
        return self.rollout.loading if self.is_rolling_out() else ()

    def record_version(self, id, model, version):
        """Record a weights version that an upstream reported in an answer."""
        upstream = self.upstreams_by_id.get(id)
        if upstream is None or version <= self.version_at(id, model):
            return
        self._running_versions.update(id, upstream.started, {model: version})
        self._record_and_notify()

    def version_at(self, id, model):
        """Return the version of `model` at an upstream, or 0 if unknown."""
        upstream = self.upstreams_by_id.get(id)
        started = None if upstream is None else upstream.started
        return self._running_versions.at(id, started, model)

    def apply(self, record, sender=None):
        """Apply a record of any type; `sender` is the router that sent it, if any."""
        APPLY_BY_TYPE[type(record)](self, record)
        if sender is not None:
            self._changes.set_sender(record, sender)

    def changes_since(self, revision):
        """Return the newest records of everything that changed after `revision`.

        Weights are returned with their present ages.
        """
        return [
            self.named_weights.with_ages(change.record)
            if isinstance(change.record, Weights)
            else change.record
            for change in self._changes.since(revision)
        ]

    def _drop_old_removals(self):
        oldest = self._clock.now() - REMOVAL_RETENTION_MS
        for id, removed_at in list(self._removed_at_by_id.items()):
            if removed_at < oldest:
                del self._removed_at_by_id[id]
                self._removed_by_id.pop(id, None)
                self._outdated_filter.forget(id)

    def _record_change(self, key, record):
        self.revision += 1
        if record is not None:
            self._changes.append(key, self.revision, record)

    def _record_and_notify(self, key=None, record=None):
        self._record_change(key, record)
        for listener in self._listeners:
            listener()
        changed, self._changed = self._changed, Event()
        changed.send()


def _suspect_key(fingerprint):
    return f"suspect/{fingerprint}"


APPLY_BY_TYPE = {
    Configuration: FleetState.apply_configuration,
    Weights: FleetState.apply_weights,
    NamingTimes: FleetState.apply_naming_times,
    Upstream: FleetState.apply_upstream,
    Removal: FleetState.apply_removal,
    Member: FleetState.apply_member,
    Departure: FleetState.apply_departure,
    RateLimit: FleetState.apply_rate_limit,
    CachedPart: FleetState.apply_cached_part,
    Suspect: FleetState.apply_suspect,
    Verdict: FleetState.apply_verdict,
    SavedAdmissions: FleetState.apply_saved_admissions,
    SavedSuspects: FleetState.apply_saved_suspects,
    ReleaseOrder: FleetState.apply_release_order,
    ReleaseState: FleetState.apply_release_state,
}
