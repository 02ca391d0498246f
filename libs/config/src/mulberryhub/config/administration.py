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


class FindingsAnswer(msgspec.Struct, frozen=True):
    """All findings of a check."""

    findings: list[Finding]
