"""Records of the fleet, as routers store them and exchange them with each other."""

from enum import StrEnum

import msgspec

from mulberryhub.base.ranges import (
    Address,
    Amount,
    Count,
    Fingerprint,
    Name,
    Number,
    Text,
)
from mulberryhub.fleet.admissions import Admitted
from mulberryhub.fleet.incarnations import UNKNOWN_OFFSET
from mulberryhub.fleet.release_records import ReleaseOrder, ReleaseState


class RequestKind(StrEnum):
    """How a request may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class UpstreamState(StrEnum):
    """Whether an upstream accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


class Target(msgspec.Struct, frozen=True):
    """A service and its share of a route's requests."""

    service: Text
    weight: Amount


class Route(msgspec.Struct, frozen=True):
    """Where requests of one host and path prefix are sent, and with which limits.

    `timeout`, `target_latency` and `target_gap` are in ms. A `priority` of 0 is the
    most urgent. `max_attempts` limits the number of upstreams that a request goes to.
    """

    name: Text
    host: Text
    path_prefix: Text
    kind: RequestKind
    targets: list[Target]
    timeout: Number
    target_latency: Number
    priority: Number = 0
    max_attempts: Number = 1
    is_open: bool = False
    is_resumable: bool = False
    target_gap: Number = 0


class Service(msgspec.Struct, frozen=True):
    """A pool of upstreams; `slots` and `models` are set if it serves models.

    `kv_capacity` is the KV memory of one upstream in tokens. `cache_address` is set for
    a KV cache store, which serves no requests.
    """

    name: Text
    slots: Count = 0
    models: list[Text] = []
    kv_capacity: Number = 0
    cache_address: Text = ""
    cache_data_centre: Text = ""


class Workspace(msgspec.Struct, frozen=True):
    """A workspace with its keys, rate limit and burst; a rate of 0 means no limit.

    The rate (per s) and the burst are in tokens if `counts_tokens` is set, else in
    requests. A request that states no number of tokens counts as `default_tokens`.
    """

    name: Text
    keys: list[Text]
    priority: Number | None = None
    rate: Amount = 0
    burst: Amount = 0
    counts_tokens: bool = False
    default_tokens: Number = 0
    is_isolated: bool = False


class ClientLimits(msgspec.Struct, frozen=True):
    """Limits on the size (bytes), read time and idle time (ms) of client requests."""

    header_bytes: Number = 16_384
    body_bytes: Number = 4_194_304
    header_time: Number = 3_000
    idle_time: Number = 15_000


class Configuration(msgspec.Struct, frozen=True, tag=True):
    """The operator's complete configuration; a higher version is newer.

    `lists_workspaces` is false if it has no list of workspaces, not even an empty one.
    It is None if it came from a router of an earlier build, which does not tell.
    """

    version: Number
    routes: list[Route]
    services: list[Service]
    workspaces: list[Workspace]
    limits: ClientLimits = ClientLimits()
    lists_workspaces: bool | None = None

    @property
    def requires_keys(self):
        """Return whether requests need the key of a workspace.

        They do also where no workspace has a key left, or none is left on the list.
        """
        if self.lists_workspaces is None:
            return bool(self.workspaces)
        return self.lists_workspaces


class Weights(msgspec.Struct, frozen=True, tag=True):
    """The newest version of a model's weights that the operator announced.

    Between routers, `ages` has for how many ms at most each version has been named, of
    the versions whose age the sender knows. `unaged` are earlier ones whose age it does
    not know.
    """

    model: Text
    version: Count
    ages: dict[Count, Count] = {}
    unaged: list[Count] = []

    def without_ages(self):
        """Return this record with all ages unknown."""
        earlier = [version for version in self.ages if version != self.version]
        return Weights(self.model, self.version, unaged=[*self.unaged, *earlier])


class NamingTimes(msgspec.Struct, frozen=True):
    """When versions of a model's weights were named, in ms at the earliest.

    `router` saves them in the store, as Unix times and as times since the boot of its
    VM, which `boot_id` identifies. An empty one means that these are unknown. `unaged`
    are versions of which the router does not know when they were named.
    """

    model: Text
    named_at_by_version: dict[Count, Number]
    router: Text = ""
    data_centre: Text = ""
    boot_id: Text = ""
    uptime_by_version: dict[Count, Number] = {}
    unaged: list[Count] = []


class Upstream(msgspec.Struct, frozen=True, tag=True):
    """The record that an upstream writes about itself, ordered by `offset`.

    `started` is the start of the incarnation as wall time in ms. `software_version` is
    that of its software, None if it is unknown.
    """

    id: Text
    service: Text
    address: Address
    data_centre: Text
    state: UpstreamState
    offset: Number
    started: Count = 0
    slots: Count = 0
    versions_by_model: dict[Text, Count] = {}
    software_version: Text | None = None


class Member(msgspec.Struct, frozen=True, tag=True):
    """A router of the fleet; other routers connect to it at `address`.

    Members of higher `strength` (CPU and network capacity) are preferred as leaders.
    """

    name: Text
    address: Address
    data_centre: Text
    offset: Number = 0
    strength: Number = 0

    def is_same(self, other):
        """Return whether `other` differs in the offset of its record at most."""
        return (
            other is not None
            and msgspec.structs.replace(self, offset=other.offset) == other
        )

    @property
    def rank(self):
        """Return the sort key that orders members as candidates for leader."""
        return (-self.strength, self.name)


class Removal(msgspec.Struct, frozen=True, tag=True):
    """An upstream that the store no longer lists."""

    id: Text
    offset: Number


class Departure(msgspec.Struct, frozen=True, tag=True):
    """An upstream that announced its shutdown in an answer to the router `source`.

    `started` identifies its incarnation, and `offset` is that of a record of it; a
    later incarnation may take requests again.
    """

    id: Text
    started: Count
    source: Text
    offset: Number = UNKNOWN_OFFSET


class RateLimit(msgspec.Struct, frozen=True, tag=True):
    """The requests/s that an upstream accepts from all routers together.

    `started` identifies its incarnation, and `offset` is that of a record of it. A
    higher `number` is newer; a `rate` of None means that it no longer limits requests.
    """

    id: Text
    started: Count
    number: Number
    rate: Amount | None
    offset: Number = UNKNOWN_OFFSET


class CrashedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run of a request during which the upstream incarnation `started` ended.

    `is_repeat` is set if the reporting router had known of another such run for a
    while, so the two upstreams did not end at the same moment. `request` is the
    fingerprint of the request, "" in reports of routers that do not send it.
    `was_answering` is set if the answer had been going on for a while.
    """

    upstream: Text
    started: Count
    is_repeat: bool
    request: Text = ""
    was_answering: bool = False

    @property
    def incarnation(self):
        """Return what identifies the upstream incarnation that ended."""
        return self.upstream, self.started


QUARANTINE_RUN_COUNT = 3  # crashed runs before a suspect may be quarantined


class Suspect(msgspec.Struct, frozen=True, tag=True):
    """A request or a prompt part, and the runs with it during which upstreams ended.

    `round` counts how often an upstream completed a request with it after such runs. A
    completed run invalidates everything reported in earlier rounds. `breadth` is 0 for
    a whole request, and for a part its greatest distance from the end of a prompt.
    `relapses` counts the quarantines that ended and were followed by another crash.
    """

    fingerprint: Fingerprint
    round: Number = 0
    crashed_runs: list[CrashedRun] = msgspec.field(default=[], name="ended")
    breadth: Number = 0
    relapses: Number = 0

    @property
    def has_enough_crashed_runs(self):
        """Return whether the suspect may be quarantined."""
        return len(self.crashed_runs) >= QUARANTINE_RUN_COUNT


class CachedPart(msgspec.Struct, frozen=True, tag="KeptPart"):
    """A prompt part that a KV cache store holds; 0 tokens means it was evicted.

    `number` orders the changes within one `epoch`, which is one start of the store.
    """

    salt: Name
    id: Name
    tokens: Count
    epoch: Number
    number: Number


class Verdict(msgspec.Struct, frozen=True):
    """A Suspect as saved in the store at `at` (wall time in ms)."""

    suspect: Suspect
    at: Number


class SavedSuspects(msgspec.Struct, frozen=True):
    """What spoke against suspects at `at` (wall time in ms), as `router` saved it."""

    router: Text
    at: Number
    suspects: list[Suspect]


class SavedAdmissions(msgspec.Struct, frozen=True):
    """What all routers admitted of workspaces that ask for more than their rate.

    `router` saved it at `at` (wall time in ms). `rate_by_workspace` is the demand in
    the unit of the workspace per s.
    """

    router: Text
    at: Number
    admitted: Admitted
    rate_by_workspace: dict[Text, Amount]


# What routers observe or decide themselves.
Observation = Departure | RateLimit | Suspect | ReleaseState
Record = (
    Configuration
    | Weights
    | Upstream
    | Removal
    | Member
    | CachedPart
    | ReleaseOrder
    | Observation
)


MAX_UPTIME_MS = 2**53  # larger than any uptime


class Usage(msgspec.Struct, omit_defaults=True):
    """The recent usage of one or more routers: tokens admitted and work in flight.

    `admitted` is what was admitted in the quota window, in the unit of each workspace.
    `rate_by_workspace` is the recent demand per s. `work_by_upstream` is the delay in
    ms that requests in flight cause at an upstream, and `bound_by_upstream` the number
    of requests that cannot continue at any other upstream. `demand_by_service` is the
    engine time in ms that clients request per s. `followers_by_coordinator` is the
    number of the routers that ask a coordinator for permits.
    `slowness_by_incarnation` is the weighted sum of what responses tell of the speed of
    upstreams, and `speed_weight_by_incarnation` its weight; keys and units are those of
    `forward.speed_sharing`. `max_uptime` is the ms for which the longest running of the
    routers has run, `min_uptime` that of the latest started. `routers_by_data_centre`
    is the number of routers of each other data centre that are included; earlier builds
    do not tell. `requests_by_upstream` is the number of requests in flight at an
    upstream with configured slots, `urgent_by_upstream` that of the most urgent ones.
    `release_counts` are the outcomes of requests during releases; it is empty, and not
    sent, while no release is running.
    """

    admitted: Admitted = Admitted()
    rate_by_workspace: dict[str, float] = {}
    work_by_upstream: dict[str, float] = {}
    bound_by_upstream: dict[str, int] = {}
    demand_by_service: dict[str, float] = {}
    routers: int = 1
    max_uptime: int = msgspec.field(default=0, name="uptime")
    min_uptime: int = msgspec.field(default=MAX_UPTIME_MS, name="youngest")
    followers_by_coordinator: dict[str, int] = {}
    routers_by_data_centre: dict[str, int] = msgspec.field(default={}, name="heard")
    speed_weight_by_incarnation: dict[int, int] = {}
    slowness_by_incarnation: dict[int, int] = {}
    requests_by_upstream: dict[str, int] = {}
    urgent_by_upstream: dict[str, int] = {}
    release_counts: dict[str, int] = {}

    def add(self, other):
        """Add the usage of other routers, except for `admitted`."""
        for name in SUMMED_FIELDS:
            totals = getattr(self, name)
            for key, value in getattr(other, name).items():
                totals[key] = totals.get(key, 0) + value
        self.routers += other.routers
        self.max_uptime = max(self.max_uptime, other.max_uptime)
        self.min_uptime = min(self.min_uptime, other.min_uptime)

    def work_differs(self, other, threshold):
        """Return whether work in flight differs by `threshold` ms or more in total."""
        mine, others = self.work_by_upstream, other.work_by_upstream
        ids = mine.keys() | others.keys()
        return sum(abs(mine.get(id, 0) - others.get(id, 0)) for id in ids) >= threshold

    def minus(self, other):
        """Return this usage minus a part, each amount 0 or more, without `admitted`."""
        rest = Usage(
            routers=self.routers - other.routers,
            max_uptime=self.max_uptime,
            min_uptime=self.min_uptime,
        )
        for name in SUMMED_FIELDS:
            part = getattr(other, name)
            for key, value in getattr(self, name).items():
                getattr(rest, name)[key] = max(0, value - part.get(key, 0))
        return rest


SUMMED_FIELDS = (
    "rate_by_workspace",
    "work_by_upstream",
    "bound_by_upstream",
    "demand_by_service",
    "followers_by_coordinator",
    "routers_by_data_centre",
    "speed_weight_by_incarnation",
    "slowness_by_incarnation",
    "requests_by_upstream",
    "urgent_by_upstream",
    "release_counts",
)
