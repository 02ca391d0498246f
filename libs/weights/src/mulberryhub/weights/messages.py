"""What is asked of and told by an upstream that serves models."""

from enum import Enum


class OrderResult(Enum):
    """How an upstream answered an order."""

    ACCEPTED = "accepted"
    HOLDS = "holds"
    BUSY = "busy"
    FENCED = "fenced"
    REJECTED = "rejected"
    OTHER_UPSTREAM = "other_upstream"
    UNKNOWN = "unknown"


class LoadOrder:
    """An order to load a version of a model.

    With `ends_runs` the streams of running requests are cut, so that routers resume
    them elsewhere; else the load begins once they have ended. `orders_before` is the
    number of orders that the upstream must have accepted.
    """

    __slots__ = ("model", "version", "holder", "fence", "orders_before", "ends_runs")

    def __init__(self, model, version, holder, fence, orders_before, ends_runs):
        self.model = model
        self.version = version
        self.holder = holder
        self.fence = fence
        self.orders_before = orders_before
        self.ends_runs = ends_runs


class EngineReport:
    """The state of an upstream: versions by model, orders accepted, load."""

    __slots__ = ("versions_by_model", "is_busy", "orders", "running", "waiting")

    def __init__(self, versions_by_model, is_busy, orders, running, waiting):
        self.versions_by_model = versions_by_model
        self.is_busy = is_busy
        self.orders = orders
        self.running = running
        self.waiting = waiting
