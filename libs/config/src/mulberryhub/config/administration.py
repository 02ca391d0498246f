"""Bodies and answers of the administration API, shared by routers and the tool."""

from typing import Any

import msgspec

from mulberryhub.base.findings import Finding
from mulberryhub.config.inventory import Inventory


class RouterStatus(msgspec.Struct, frozen=True):
    """What a router has in force and whether it can read the log.

    `offset` is that in force, -1 where there is none; `unread` that of the first
    change that this router is too old to read; `pending` counts withdrawals that
    the log does not hold yet. `withdrawn` tells whether the key that was asked
    for is refused.
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
    """The status of the router on a VM, or None and the reason where it gave none.

    `live` is False for a VM that the platform does not list as live.
    """

    vm: str
    status: RouterStatus | None
    reason: str = ""
    live: bool = True


class FleetAnswer(msgspec.Struct, frozen=True):
    """Reports of all routers of the inventory in force."""

    routers: list[RouterReport]


class StatusAnswer(msgspec.Struct, frozen=True):
    """One router's own status, its counters by name and its parts' reports."""

    router: RouterStatus
    counters: dict[str, int]
    parts: dict[str, Any] = {}


class Change(msgspec.Struct, frozen=True):
    """An accepted change as the history lists it."""

    offset: int
    change: str
    author: str
    action: str


class ConfigurationAnswer(msgspec.Struct, frozen=True):
    """The inventory in force and the last changes, oldest first.

    `base` is the offset to base the next change on.
    """

    base: int
    inventory: Inventory | None
    history: list[Change]


class ChangeAnswer(msgspec.Struct, frozen=True):
    """The offset of an accepted change."""

    offset: int


class AddKeyBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A caller's key to add, by its hash."""

    hash: str
    workspace: str
    base: int


class WithdrawKeyBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A key to withdraw, by its hash."""

    hash: str


class WithdrawalAnswer(msgspec.Struct, frozen=True):
    """The withdrawal's offset, or None while the log does not hold it yet."""

    offset: int | None


class DrainBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Whether the router is to fail readiness, so that no new calls are sent to it."""

    draining: bool


class DrainAnswer(msgspec.Struct, frozen=True):
    """Whether the router fails readiness on request."""

    draining: bool


class ExplainBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A completions request to explain, as if `workspace` had sent it."""

    workspace: str
    request: msgspec.Raw
    chat: bool = True


class Candidate(msgspec.Struct, frozen=True):
    """One engine in the order in which it would be tried.

    `cost` is the policy's weighed cost in ms, and `missing_tokens` what the engine
    is expected to compute; both are None where the policy did not weigh the engine.
    `failing` engines are tried after all others.
    """

    engine: str
    data_centre: str
    cost: float | None
    missing_tokens: int | None
    own_tokens: int
    reported_tokens: int
    failing: bool


class ExplainAnswer(msgspec.Struct, frozen=True):
    """How a router would route a request now; nothing is sent."""

    policy: str
    prompt_tokens: int
    reserved_tokens: int
    candidates: list[Candidate]
    reason: str


class FindingsAnswer(msgspec.Struct, frozen=True):
    """All findings of a check."""

    findings: list[Finding]
