"""The inventory of a fleet, as exported by the operators' asset register.

Rates are tokens per second, bursts are tokens, prices are milliseconds per token.
"""

from typing import Literal

import msgspec


class Vm(msgspec.Struct, forbid_unknown_fields=True):
    """One entry VM that runs a router; addresses are host:port."""

    id: str
    data_centre: str
    address: str
    peer_address: str


class Model(msgspec.Struct, forbid_unknown_fields=True):
    """One model with the version of its weights that is to be served."""

    id: str
    version: str
    adapters: list[str] = []


class Upstream(msgspec.Struct, forbid_unknown_fields=True):
    """One back end: a model engine or a plain service, at host:port."""

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
    """One tenant with its rate, burst and weight in the fair queue."""

    id: str
    rate: float
    burst: float
    weight: float = 1.0
    models: list[str] = []


class Key(msgspec.Struct, forbid_unknown_fields=True):
    """A caller's key, by the SHA-256 of its text in hexadecimal."""

    hash: str
    workspace: str


class Operator(msgspec.Struct, forbid_unknown_fields=True):
    """A person or program that may change the configuration."""

    id: str
    key_hash: str


class Route(msgspec.Struct, forbid_unknown_fields=True):
    """A path prefix that plain services answer.

    A call on a route that is not `idempotent` runs at most once.
    """

    path: str
    upstreams: list[str]
    open: bool = False
    idempotent: bool = True


class Rules(msgspec.Struct, forbid_unknown_fields=True):
    """Weights of the aims in the choice of an engine, and deadlines in ms.

    `loads_at_once` is how many engines may load weights at a time.
    """

    latency_weight: float = 1.0
    recomputation_weight: float = 0.2
    first_token_deadline: int = 30_000
    idle_timeout: int = 10_000
    loads_at_once: int = 2


class Inventory(msgspec.Struct, forbid_unknown_fields=True):
    """The whole document."""

    vms: list[Vm] = []
    models: list[Model] = []
    upstreams: list[Upstream] = []
    workspaces: list[Workspace] = []
    keys: list[Key] = []
    operators: list[Operator] = []
    routes: list[Route] = []
    rules: Rules = msgspec.field(default_factory=Rules)
