"""Request and response bodies of the administration API.

They are shared by the routers and the command-line tool.
"""

from typing import Any

import msgspec

from mulberryhub.base.findings import Finding
from mulberryhub.config.inventory import Inventory


class RouterStatus(msgspec.Struct, frozen=True):
    """The configuration in force on a router, and its progress in reading the log.

    `offset` is the log offset of the configuration in force, or -1, and `position`
    the offset of the next record to read. `ready` is whether a configuration is in
    force, and `log_readable` whether the log can be read. `pending` is the number of
    key withdrawals that are not in the log yet. `unread` is the offset of the first
    change that this version of the router cannot decode, or None. `withdrawn` is
    whether the key named in the request has been withdrawn.
    """

    vm: str
    offset: int
    position: int
    ready: bool
    log_readable: bool
    pending: int
    unread: int | None = None
    withdrawn: bool = False


class RouterReport(msgspec.Struct, frozen=True):
    """The status of the router on a VM, or None and the reason of the failure.

    `live` is False for a VM that the platform does not list as live.
    """

    vm: str
    status: RouterStatus | None
    reason: str = ""
    live: bool = True


class FleetResponse(msgspec.Struct, frozen=True):
    """Response: reports of all routers in the inventory in force."""

    routers: list[RouterReport]


class StatusResponse(msgspec.Struct, frozen=True):
    """Response: the status of this router, its counters and reports by component."""

    router: RouterStatus
    counters: dict[str, int]
    parts: dict[str, Any] = {}


class HistoryEntry(msgspec.Struct, frozen=True):
    """An entry of the history: an accepted change.

    `change` is the id of the change, and `author` the id of its operator.
    """

    offset: int
    change: str
    author: str
    action: str


class ConfigurationResponse(msgspec.Struct, frozen=True):
    """Response: the inventory in force and the last changes, oldest first.

    `base` is the offset that the next change must be based on.
    """

    base: int
    inventory: Inventory | None
    history: list[HistoryEntry]


class ChangeResponse(msgspec.Struct, frozen=True):
    """Response: the log offset of an accepted change."""

    offset: int


class AddKeyRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request to add the caller's key with the given hash to a workspace.

    `base` is the offset that the change is based on.
    """

    hash: str
    workspace: str
    base: int


class WithdrawKeyRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request to withdraw the key with the given hash."""

    hash: str


class WithdrawalResponse(msgspec.Struct, frozen=True):
    """Response: the withdrawal's log offset, or None while it is not in the log."""

    offset: int | None


class DrainRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request to start or end draining.

    A draining router fails its readiness check, so that it is sent no new calls.
    """

    draining: bool


class DrainResponse(msgspec.Struct, frozen=True):
    """Response: whether the router is draining."""

    draining: bool


class ExplainRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request to explain how a completion request of `workspace` would be routed.

    `chat` is whether `request` is the body of a chat completion.
    """

    workspace: str
    request: msgspec.Raw
    chat: bool = True


class Candidate(msgspec.Struct, frozen=True):
    """An engine that could serve a request.

    `cost` is the weighted cost in ms that the policy calculated, and
    `missing_tokens` the number of prompt tokens that the engine is expected to
    compute; both are None for engines that the policy did not evaluate. `own_tokens`
    are waiting prompt tokens sent by this router, and `reported_tokens` those
    reported by the engine. `failing` engines are tried after all others.
    """

    engine: str
    data_centre: str
    cost: float | None
    missing_tokens: int | None
    own_tokens: int
    reported_tokens: int
    failing: bool


class ExplainResponse(msgspec.Struct, frozen=True):
    """Response: how the router would route a request now, without sending it.

    `candidates` are in the order in which they would be tried, and `reason` explains
    the choice of the first one.
    """

    policy: str
    prompt_tokens: int
    reserved_tokens: int
    candidates: list[Candidate]
    reason: str


class FindingsResponse(msgspec.Struct, frozen=True):
    """Response: all findings of a validation."""

    findings: list[Finding]
