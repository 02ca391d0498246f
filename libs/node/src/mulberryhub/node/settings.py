"""Settings of a router, which an adapter reads in the format of its platform."""

import msgspec

from mulberryhub.base.findings import Findings
from mulberryhub.base.ranges import Address

MAX_SHOWN_LENGTH = 80  # characters of an invalid address


class OperatorLimits(msgspec.Struct, frozen=True):
    """Limits set by the operator; durations are in ms.

    `stop_time` is the time from the request to stop until the process is killed.
    `lease_time` must pass between orders that two routers send to upstreams.
    `version_time` is how long weights may be used after newer ones were announced. For
    the `retry_` fields see `forward.budget.BudgetRule`, for the `quota_` fields
    `forward.quotas.QuotaRule`. A bad version receives at most `expose_share` of the
    requests during its release plus `expose_slack`, and none `rollback_time` after its
    50th bad response.
    """

    stop_time: int = 8_000
    lease_time: int = 3_000
    version_time: int = 12_000
    retry_ratio: float = 0.2
    retry_window: int = 10_000
    retry_slack: float = 50
    quota_window: int = 8_000
    quota_overage: float = 0.1
    quota_slack: float = 0
    expose_share: float = 0.1
    expose_slack: float = 50
    rollback_time: int = 5_000


class RouterSettings(msgspec.Struct, frozen=True):
    """The identity of a router, its addresses (host:port) and the operator's limits.

    `seeds` are peer addresses of some routers, which may be out of date. Metrics are
    not served if `metrics_address` is empty. `strength` measures the CPU and network
    capacity; members of higher strength are preferred as leaders. `memory_limit` is
    that of the process in bytes, 0 if it has none. `link_mbps` is the speed of the VM's
    network link in Mbit/s.
    """

    name: str
    data_centre: str
    front_address: str
    ready_address: str
    peer_address: str
    store_address: str
    metrics_address: str = ""
    seeds: list[str] = []
    strength: int = 0
    memory_limit: int = 0
    link_mbps: float = 1_000
    bounds: OperatorLimits = OperatorLimits()

    def findings(self):
        """Return the Findings that make the settings unusable."""
        findings = Findings()
        for name in ("name", "data_centre"):
            if not getattr(self, name):
                findings.error(f"$.{name}", "must not be empty")
        for name in ("front_address", "ready_address", "peer_address", "store_address"):
            _check_address(findings, f"$.{name}", getattr(self, name))
        if self.memory_limit < 0:
            findings.error("$.memory_limit", "must not be negative")
        for name in self.bounds.__struct_fields__:
            if getattr(self.bounds, name) < 0:
                findings.error(f"$.bounds.{name}", "must not be negative")
        return findings.items


def _check_address(findings, path, address):
    try:
        msgspec.convert(address, Address)
    except msgspec.ValidationError:
        shown = address[:MAX_SHOWN_LENGTH]
        findings.error(path, f"{shown!r} is not host:port")
