"""Settings of a router on a platform, as adapters read them."""

import msgspec

from mulberryhub.base.findings import Findings


class Bounds(msgspec.Struct, frozen=True):
    """What the operator asks for; durations are ms.

    `stop_time` is between the request to stop and the end by force, `lease_time` the
    time that must lie between orders of two routers, `version_time` how long weights
    may serve after newer ones were named.
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


class NodeSettings(msgspec.Struct, frozen=True):
    """Who a router is, where it listens (host:port), and the bounds it keeps.

    `seeds` are peer addresses of some routers, which may be out of date.
    `metrics_address` may be empty. `strength` tells how much of others' work it can do.
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
    bounds: Bounds = Bounds()

    def findings(self):
        """Return what makes the settings unusable."""
        findings = Findings()
        for name in ("name", "data_centre"):
            if not getattr(self, name):
                findings.error(f"$.{name}", "must not be empty")
        for name in ("front_address", "ready_address", "peer_address", "store_address"):
            _check_address(findings, f"$.{name}", getattr(self, name))
        for name in self.bounds.__struct_fields__:
            if getattr(self.bounds, name) < 0:
                findings.error(f"$.bounds.{name}", "must not be negative")
        return findings.items


def _check_address(findings, path, address):
    host, colon, port = address.rpartition(":")
    if not host or not colon or not port.isdigit() or not 0 < int(port) < 65_536:
        findings.error(path, f"{address!r} is not host:port")
