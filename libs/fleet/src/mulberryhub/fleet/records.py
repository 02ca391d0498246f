"""Typed records of the fleet, as routers keep them and send them to one another."""

from enum import StrEnum

import msgspec

from mulberryhub.fleet.admissions import Admitted


class Kind(StrEnum):
    """What may be repeated of a request."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class State(StrEnum):
    """Whether an upstream takes new requests."""

    READY = "ready"
    DRAINING = "draining"


class Target(msgspec.Struct, frozen=True):
    """A service and its share of a route's requests."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Where requests of one host and path prefix go, and what holds for them.

    `timeout`, `target_latency` and `target_gap` are ms; `priority` 0 is the most
    urgent; `max_attempts` counts the upstreams that one request may be sent to.
    """

    name: str
    host: str
    path_prefix: str
    kind: Kind
    targets: list[Target]
    timeout: int
    target_latency: int
    priority: int = 0
    max_attempts: int = 1
    is_open: bool = False
    is_resumable: bool = False
    target_gap: int = 0


class Service(msgspec.Struct, frozen=True):
    """A pool of upstreams; `slots` and `models` are set where it serves models.

    `kv_capacity` is the memory of one in tokens. `cache_address` is set for a store of
    kept KV cache, which serves no requests.
    """

    name: str
    slots: int = 0
    models: list[str] = []
    kv_capacity: int = 0
    cache_address: str = ""
    cache_data_centre: str = ""


class Workspace(msgspec.Struct, frozen=True):
    """A workspace with its keys and its rate and burst; a rate of 0 has no limit.

    Rate (per s) and burst count tokens where `counts_tokens`, else requests. A
    request that names no tokens counts as `default_tokens`.
    """

    name: str
    keys: list[str]
    priority: int | None = None
    rate: float = 0
    burst: float = 0
    counts_tokens: bool = False
    default_tokens: int = 0
    is_isolated: bool = False


class ClientLimits(msgspec.Struct, frozen=True):
    """What clients may send (bytes) and how long they may take or idle (ms)."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_time: int = 3_000
    idle_time: int = 15_000


class Configuration(msgspec.Struct, frozen=True, tag=True):
    """The operator's configuration in full; a higher version is newer."""

    version: int
    routes: list[Route]
    services: list[Service]
    workspaces: list[Workspace]
    limits: ClientLimits = ClientLimits()


class Weights(msgspec.Struct, frozen=True, tag=True):
    """The newest weights of a model that the operator named."""

    model: str
    version: int


class Upstream(msgspec.Struct, frozen=True, tag=True):
    """An upstream as it last wrote of itself; `offset` orders what it wrote.

    `started` is the wall time in ms of the incarnation's start.
    """

    id: str
    service: str
    address: str
    data_centre: str
    state: State
    offset: int
    started: int = 0
    slots: int = 0
    versions_by_model: dict[str, int] = {}


class Member(msgspec.Struct, frozen=True, tag=True):
    """A router of the fleet, reached by others at `address`.

    Those of more `strength`, of processor and link, serve others first.
    """

    name: str
    address: str
    data_centre: str
    offset: int = 0
    strength: int = 0

    @property
    def rank(self):
        """Return the key that orders members by who serves others first."""
        return (-self.strength, self.name)


class Removal(msgspec.Struct, frozen=True, tag=True):
    """An upstream that the store no longer lists."""

    id: str
    offset: int


class Departure(msgspec.Struct, frozen=True, tag=True):
    """An upstream that said in an answer to the router `source` that it is leaving.

    `started` names its incarnation; a later one may take requests again.
    """

    id: str
    started: int
    source: str


class EndedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run under which the incarnation `started` of an upstream ended.

    `is_repeat` tells that the router which sent it had known of another such run for a
    while, so that both upstreams did not end at one moment.
    """

    upstream: str
    started: int
    is_repeat: bool


CONDEMNING = 3  # upstreams that end under a request before it is sent to no other


class Suspect(msgspec.Struct, frozen=True, tag=True):
    """A request, by its fingerprint, and the runs of it under which upstreams ended.

    `round` counts how often an upstream ran it to a good end after such runs; what was
    known in an earlier round is void.
    """

    fingerprint: str
    round: int = 0
    ended: list[EndedRun] = []

    @property
    def is_condemned(self):
        """Tell whether the request ended its upstreams, so that none may run it.

        Upstreams that ended at the same moment may have ended for another reason; a run
        that was sent afterwards and ended one more is no such chance.
        """
        return self._has_many and any(run.is_repeat for run in self.ended)

    @property
    def is_doubtful(self):
        """Tell whether many ended under the request, though perhaps by themselves."""
        return self._has_many and not self.is_condemned

    @property
    def _has_many(self):
        return len(self.ended) >= CONDEMNING


class KeptPart(msgspec.Struct, frozen=True, tag=True):
    """A part that a store of kept KV cache holds; with 0 tokens, holds no more.

    `number` orders the changes in one `epoch`, the time between two starts.
    """

    salt: str
    id: str
    tokens: int
    epoch: int
    number: int


class Verdict(msgspec.Struct, frozen=True):
    """A Suspect as it was kept in the store at `at` (ms of wall time)."""

    suspect: Suspect
    at: int


Observation = Departure | Suspect  # what routers see themselves
Record = Configuration | Weights | Upstream | Removal | Member | KeptPart | Observation


class Rollout(msgspec.Struct, frozen=True):
    """The progress of new weights, told by the router that gives the orders.

    A higher pair of `fence` and `revision` is newer. `loading` are the ids of
    upstreams that are about to load or load now.
    """

    fence: int = -1
    revision: int = 0
    loading: list[str] = []
    versions_by_id: dict[str, dict[str, int]] = {}

    @property
    def order(self):
        """Return the key that orders rollouts in time."""
        return (self.fence, self.revision)


LONG = 2**53  # ms


class Use(msgspec.Struct):
    """What routers did lately: tokens admitted, and work in flight.

    `admitted` is what was admitted in the quota window, in the unit of each workspace,
    and `rate_by_workspace` what was asked for per s over the last moments.
    `work_by_upstream` is the delay in ms that requests in flight cause there, and
    `bound_by_upstream` counts those that no other upstream can go on with.
    `demand_by_service` is the ms of engine time that clients ask for in a second.
    `uptime` is the ms for which the oldest of the routers has run, `youngest` the
    least.
    """

    admitted: Admitted = Admitted()
    rate_by_workspace: dict[str, float] = {}
    work_by_upstream: dict[str, float] = {}
    bound_by_upstream: dict[str, int] = {}
    demand_by_service: dict[str, float] = {}
    routers: int = 1
    uptime: int = 0
    youngest: int = LONG

    def add(self, other):
        """Add the use of other routers to this, but for what they admitted."""
        for name in SUMMED:
            totals = getattr(self, name)
            for key, value in getattr(other, name).items():
                totals[key] = totals.get(key, 0) + value
        self.routers += other.routers
        self.uptime = max(self.uptime, other.uptime)
        self.youngest = min(self.youngest, other.youngest)

    def work_differs(self, other, least):
        """Tell whether work in flight differs by `least` ms or more in all."""
        mine, others = self.work_by_upstream, other.work_by_upstream
        ids = mine.keys() | others.keys()
        return sum(abs(mine.get(id, 0) - others.get(id, 0)) for id in ids) >= least

    def less(self, other):
        """Return this use without a part of it; nothing falls below 0.

        What was admitted is left out.
        """
        rest = Use(
            routers=self.routers - other.routers,
            uptime=self.uptime,
            youngest=self.youngest,
        )
        for name in SUMMED:
            part = getattr(other, name)
            for key, value in getattr(self, name).items():
                getattr(rest, name)[key] = max(0, value - part.get(key, 0))
        return rest


SUMMED = (
    "rate_by_workspace",
    "work_by_upstream",
    "bound_by_upstream",
    "demand_by_service",
)
