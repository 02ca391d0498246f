"""What this router believes of the fleet, each part with its source's time.

All parts merge by an order that the platform's store gives: configurations and
weights by version, upstreams and members by the offset of their record. So it does
not matter who told them first, and nothing goes back.
"""

from enum import StrEnum
from math import inf

from mulberryhub.base.green import Event
from mulberryhub.base.logs import module_logger
from mulberryhub.fleet.changes import ChangeLog
from mulberryhub.fleet.departures import Departures
from mulberryhub.fleet.kept import KeptParts
from mulberryhub.fleet.records import (
    Configuration,
    Departure,
    KeptPart,
    Member,
    Observation,
    Removal,
    Rollout,
    State,
    Suspect,
    Upstream,
    Verdict,
    Weights,
)
from mulberryhub.fleet.suspects import Suspects

REMOVALS_KEPT = 120_000  # ms
OUTAGE = 1_500  # ms for which a topic is not known before its records may lapse
ROLLOUT_TIME = 4_000  # ms without progress after which a rollout counts as left
UNKNOWN = -1  # position of a topic of which nothing is known

log = module_logger(__name__)


class Topic(StrEnum):
    """The parts of the platform's store that routers follow."""

    OPERATOR = "operator"
    UPSTREAMS = "upstreams"
    MEMBERS = "members"


class Beliefs:
    """The newest known records, and up to where and when each topic was read.

    `ranked_by_data_centre` are the members there, those first that serve others.
    `position_by_topic` is the offset of the next record, `as_of_by_topic` the time in
    ms at which the store is known to have held nothing newer, and
    `regained_at_by_topic` when that was learned after a gap of more than OUTAGE ms,
    from whatever source. `listed_to` is the end of the last whole listing that
    upstreams were compared with.
    """

    __slots__ = (
        "configuration",
        "version_by_model",
        "upstreams_by_id",
        "members_by_name",
        "ranked_by_data_centre",
        "rollout",
        "kept",
        "suspects",
        "position_by_topic",
        "as_of_by_topic",
        "regained_at_by_topic",
        "listed_to",
        "revision",
        "_removed_by_id",
        "_removed_at_by_id",
        "_departures",
        "_versions_by_id",
        "_namings_by_model",
        "_changes",
        "_rollout_at",
        "_clock",
        "_listeners",
        "_changed",
    )

    def __init__(self, clock):
        self.configuration = None
        self.version_by_model = {}
        self.upstreams_by_id = {}
        self.members_by_name = {}
        self.ranked_by_data_centre = {}
        self.rollout = Rollout()
        self.kept = KeptParts(clock)
        self.suspects = Suspects(clock)
        self.position_by_topic = dict.fromkeys(Topic, UNKNOWN)
        self.as_of_by_topic = dict.fromkeys(Topic, UNKNOWN)
        self.regained_at_by_topic = dict.fromkeys(Topic, UNKNOWN)
        self.listed_to = UNKNOWN
        self.revision = 0
        self._removed_by_id = {}
        self._removed_at_by_id = {}
        self._departures = Departures()
        self._versions_by_id = {}
        self._namings_by_model = {}
        self._changes = ChangeLog()
        self._rollout_at = None
        self._clock = clock
        self._listeners = []
        self._changed = Event()

    def on_change(self, listener):
        """Call `listener()` after each change of what requests depend on."""
        self._listeners.append(listener)

    def wait_for_change(self):
        """Block until something changes."""
        self._changed.wait()

    def read_up_to(self, topic, position, as_of):
        """Note that `topic` is known up to `position`, as it was at `as_of` ms.

        With the position UNKNOWN only the time is noted.
        """
        if position > self.position_by_topic[topic]:
            self.position_by_topic[topic] = position
        before = self.as_of_by_topic[topic]
        if as_of > before:
            self.as_of_by_topic[topic] = as_of
            if as_of - before > OUTAGE:
                self.regained_at_by_topic[topic] = self._clock.now()

    def note_listing(self, end):
        """Note that upstreams were compared with a whole listing as of `end`."""
        self.listed_to = max(self.listed_to, end)

    def age(self, topic):
        """Return the ms since `topic` was known to be current, or None if never."""
        as_of = self.as_of_by_topic[topic]
        return None if as_of == UNKNOWN else self._clock.now() - as_of

    def learn_configuration(self, configuration):
        """Take a configuration if it is newer."""
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
        self._note_change("configuration", configuration)

    def learn_weights(self, weights):
        """Take the version that the operator named if it is newer."""
        if weights.version <= self.version_by_model.get(weights.model, 0):
            return
        is_first = weights.model not in self.version_by_model
        self.version_by_model[weights.model] = weights.version
        naming = Naming(weights.version, None if is_first else self._clock.now())
        self._namings_by_model.setdefault(weights.model, []).append(naming)
        log.info("weights named", model=weights.model, version=weights.version)
        self._note_change(f"weights/{weights.model}", weights)

    def learn_upstream(self, upstream):
        """Take what an upstream wrote of itself if it is newer."""
        known = self.upstreams_by_id.get(upstream.id)
        if known is not None and upstream.offset <= known.offset:
            return
        removal = self._removed_by_id.get(upstream.id)
        if removal is not None and upstream.offset <= removal.offset:
            return
        self._removed_by_id.pop(upstream.id, None)
        self.upstreams_by_id[upstream.id] = upstream
        self._note_versions(upstream.id, upstream.started, upstream.versions_by_model)
        if known is None or _differs(known, upstream):
            _log_upstream(upstream)
            self._note_change(f"upstream/{upstream.id}", upstream)

    def learn_removal(self, removal):
        """Forget an upstream unless something newer of it is known."""
        known = self.upstreams_by_id.get(removal.id)
        if known is not None and known.offset > removal.offset:
            return
        older = self._removed_by_id.get(removal.id)
        if older is not None and older.offset >= removal.offset:
            return
        self._removed_by_id[removal.id] = removal
        self._removed_at_by_id[removal.id] = self._clock.now()
        self._drop_old_removals()
        if self.upstreams_by_id.pop(removal.id, None) is not None:
            self._versions_by_id.pop(removal.id, None)
            log.info("upstream gone", upstream=removal.id, offset=removal.offset)
        self._note_change(f"upstream/{removal.id}", removal)

    def learn_departure(self, departure):
        """Take that an upstream leaves; only a later incarnation makes it void.

        Entries that it writes afterwards do not, nor does its removal.
        """
        if self._departures.apply(departure):
            self._note_change(f"departure/{departure.id}", departure)

    def is_departing(self, upstream):
        """Tell whether this incarnation of an upstream said that it is leaving."""
        return self._departures.has(upstream)

    def learn_suspect(self, suspect):
        """Take what is told of a request under which upstreams ended."""
        self._note_suspect(self.suspects.apply(suspect))

    def apply_verdict(self, verdict):
        """Take what the store keeps of a request that is or was quarantined."""
        self._note_suspect(self.suspects.apply_verdict(verdict))

    def _note_suspect(self, suspect):
        if suspect is not None:
            self._note_change(_suspect_key(suspect.fingerprint), suspect)
            self.drop_old_suspects()

    def drop_old_suspects(self):
        """Forget suspects of which nothing was heard for long."""
        for fingerprint in self.suspects.drop_expired():
            self._changes.drop(_suspect_key(fingerprint))

    def observations_since(self, revision, but_of=None):
        """Return what routers saw that was learned after `revision`.

        What the router `but_of` told, where it is named, is left out.
        """
        return [
            change.record
            for change in self._changes.since(revision)
            if isinstance(change.record, Observation)
            and (but_of is None or change.sender != but_of)
        ]

    def learn_member(self, member):
        """Take a member's record if it is newer."""
        known = self.members_by_name.get(member.name)
        if known is not None and member.offset <= known.offset:
            return
        self.members_by_name[member.name] = member
        self._rank_members(member.data_centre)
        log.info("member known", member=member.name, address=member.address)
        self._note_change(f"member/{member.name}", member)

    def learn_kept(self, part):
        """Take what a store of kept KV cache holds."""
        if self.kept.learn(part):
            self._note_record(f"kept/{part.salt}/{part.id}", part)

    def learn_rollout(self, rollout):
        """Take the progress of new weights if it is newer."""
        if rollout.order <= self.rollout.order:
            return
        self.rollout = rollout
        self._rollout_at = self._clock.now()
        for id, versions in rollout.versions_by_id.items():
            upstream = self.upstreams_by_id.get(id)
            if upstream is not None:
                self._note_versions(id, upstream.started, versions)
        self._note_change()

    def is_rolling_out(self):
        """Tell whether a router that gives orders was heard of lately."""
        if self._rollout_at is None:
            return False
        return self._clock.now() - self._rollout_at <= ROLLOUT_TIME

    def loading_ids(self):
        """Return the ids of upstreams that load new weights or are about to."""
        return self.rollout.loading if self.is_rolling_out() else ()

    def learn_version(self, id, model, version):
        """Note the version that an upstream itself showed in an answer."""
        upstream = self.upstreams_by_id.get(id)
        if upstream is None or version <= self.version_at(id, model):
            return
        self._note_versions(id, upstream.started, {model: version})
        self._note_change()

    def version_at(self, id, model):
        """Return the version of `model` at an upstream, 0 where unknown."""
        known = self._versions_by_id.get(id)
        return 0 if known is None else known.by_model.get(model, 0)

    def superseded_for(self, model, version):
        """Return the ms for which a newer version than `version` has been named.

        Return None where none is named, and inf where it was before this start.
        """
        for naming in self._namings_by_model.get(model, ()):
            if naming.version > version:
                if naming.at is None:
                    return inf
                return self._clock.now() - naming.at
        return None

    def learn(self, record, sender=None):
        """Take a record of any type; `teller` names the router that told it."""
        LEARN_BY_TYPE[type(record)](self, record)
        if sender is not None:
            self._changes.set_sender(record, sender)

    def changes_since(self, revision):
        """Return the newest records of all that changed after `revision`."""
        return [change.record for change in self._changes.since(revision)]

    def _rank_members(self, data_centre):
        members = self.members_by_name.values()
        here = [member for member in members if member.data_centre == data_centre]
        self.ranked_by_data_centre[data_centre] = sorted(
            here, key=lambda member: member.rank
        )

    def _note_versions(self, id, started, versions):
        known = self._versions_by_id.get(id)
        if known is None or known.started < started:
            known = self._versions_by_id[id] = RunningVersions(started)
        for model, version in versions.items():
            if version > known.by_model.get(model, 0):
                known.by_model[model] = version

    def _drop_old_removals(self):
        oldest = self._clock.now() - REMOVALS_KEPT
        for id, removed_at in list(self._removed_at_by_id.items()):
            if removed_at < oldest:
                del self._removed_at_by_id[id]
                self._removed_by_id.pop(id, None)

    def _note_record(self, key, record):
        self.revision += 1
        if record is not None:
            self._changes.append(key, self.revision, record)

    def _note_change(self, key=None, record=None):
        self._note_record(key, record)
        for listener in self._listeners:
            listener()
        changed, self._changed = self._changed, Event()
        changed.send()


class Naming:
    """A version that the operator named, and the ms at which that was learned.

    `at` is None for what had been named before this process started.
    """

    __slots__ = ("version", "at")

    def __init__(self, version, at):
        self.version = version
        self.at = at


class RunningVersions:
    """The highest versions that one incarnation of an upstream was seen with."""

    __slots__ = ("started", "by_model")

    def __init__(self, started):
        self.started = started
        self.by_model = {}


def _differs(known, upstream):
    """Tell whether requests depend on what changed between two records."""
    return (
        known.state is not upstream.state
        or known.address != upstream.address
        or known.service != upstream.service
        or known.started != upstream.started
        or known.versions_by_model != upstream.versions_by_model
    )


def _suspect_key(fingerprint):
    return f"suspect/{fingerprint}"


def _log_upstream(upstream):
    state = "leaving" if upstream.state is State.DRAINING else "ready"
    log.info(
        "upstream known",
        upstream=upstream.id,
        state=state,
        offset=upstream.offset,
        versions=upstream.versions_by_model,
    )


LEARN_BY_TYPE = {
    Configuration: Beliefs.learn_configuration,
    Weights: Beliefs.learn_weights,
    Upstream: Beliefs.learn_upstream,
    Removal: Beliefs.learn_removal,
    Member: Beliefs.learn_member,
    Departure: Beliefs.learn_departure,
    KeptPart: Beliefs.learn_kept,
    Suspect: Beliefs.learn_suspect,
    Verdict: Beliefs.apply_verdict,
}
