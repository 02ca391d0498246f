"""The inventory of a fleet, as exported from the operators' asset register.

Rates are in tokens per second, bursts in tokens, and costs in ms per token.
"""

from typing import Literal

import msgspec


class Vm(msgspec.Struct, forbid_unknown_fields=True):
    """A VM that runs a router; addresses are host:port."""

    id: str
    data_centre: str
    address: str
    peer_address: str


class Model(msgspec.Struct, forbid_unknown_fields=True):
    """A model and the version of its weights that engines should serve."""

    id: str
    version: str
    adapters: list[str] = []


class Upstream(msgspec.Struct, forbid_unknown_fields=True):
    """A back end at host:port: an engine, a plain service or a KV cache store.

    `models` are the ids of the models that an engine serves, `orders` the orders that
    it accepts, and `prefill_cost` its time per prompt token that is not cached.
    """

    id: str
    kind: Literal["engine", "service", "kept_cache"]
    data_centre: str
    address: str
    models: list[str] = []
    orders: list[Literal["load", "role"]] = []
    checks_fencing: bool = False
    checks_callers: bool = False
    block_tokens: int = 2_000
    prefill_cost: float = 0.05
    slots: int = 16


class Workspace(msgspec.Struct, forbid_unknown_fields=True):
    """A tenant with its rate limit, its weight in fair queueing and its models."""

    id: str
    rate: float
    burst: float
    weight: float = 1.0
    models: list[str] = []


class Key(msgspec.Struct, forbid_unknown_fields=True):
    """A caller's key, identified by its SHA-256 in hexadecimal."""

    hash: str
    workspace: str


class Operator(msgspec.Struct, forbid_unknown_fields=True):
    """A person or program that may change the configuration.

    `key_hash` is the SHA-256 of its key in hexadecimal.
    """

    id: str
    key_hash: str


class Route(msgspec.Struct, forbid_unknown_fields=True):
    """A path prefix whose requests are forwarded to plain services.

    Requests on an `open` route need no key. Those on a route that is not
    `idempotent` are executed at most once.
    """

    path: str
    upstreams: list[str]
    open: bool = False
    idempotent: bool = True


class Rules(msgspec.Struct, forbid_unknown_fields=True):
    """Weights of the objectives in engine selection, and timeouts in ms.

    `loads_at_once` is the maximum number of engines that load weights concurrently.
    """

    latency_weight: float = 1.0
    recomputation_weight: float = 0.2
    first_token_deadline: int = 30_000
    idle_timeout: int = 10_000
    loads_at_once: int = 2


class Inventory(msgspec.Struct, forbid_unknown_fields=True):
    """The complete inventory document."""

    vms: list[Vm] = []
    models: list[Model] = []
    upstreams: list[Upstream] = []
    workspaces: list[Workspace] = []
    keys: list[Key] = []
    operators: list[Operator] = []
    routes: list[Route] = []
    rules: Rules = msgspec.field(default_factory=Rules)
