"""Orders to load weights and reports of upstreams, independent of the wire format."""

from enum import Enum


class OrderResult(Enum):
    """The result of sending a LoadOrder to an upstream.

    ACCEPTED: the upstream executes the order.
    HOLDS: it already has that version.
    BUSY: it executes another order or has accepted another number of orders.
    FENCED: it has seen an order with a higher fencing token.
    OTHER_UPSTREAM: another upstream is at the address now.
    REJECTED: it refused the order for another reason, or none was sent.
    UNKNOWN: no answer arrived, so the order may or may not be executed.
    """

    ACCEPTED = "accepted"
    HOLDS = "holds"
    BUSY = "busy"
    FENCED = "fenced"
    REJECTED = "rejected"
    OTHER_UPSTREAM = "other_upstream"
    UNKNOWN = "unknown"


class LoadOrder:
    """An order to an upstream to load a version of a model.

    `holder` is the router that holds the lease and `fence` the fencing token of the
    lease. `expected_order_count` is the number of orders that the upstream must have
    accepted before this one. If `cuts_running_requests` is true, running requests are
    cut off and routers resume them on other upstreams; otherwise the load starts once
    they have ended.
    """

    __slots__ = (
        "model",
        "version",
        "holder",
        "fence",
        "expected_order_count",
        "cuts_running_requests",
    )

    def __init__(
        self, model, version, holder, fence, expected_order_count, cuts_running_requests
    ):
        self.model = model
        self.version = version
        self.holder = holder
        self.fence = fence
        self.expected_order_count = expected_order_count
        self.cuts_running_requests = cuts_running_requests


class EngineReport:
    """The state that an upstream reports.

    `versions_by_model` holds the version of the weights of each model,
    `is_executing_order` tells whether the upstream executes an accepted order, and
    `accepted_order_count` counts all orders that it accepted. `running` and `waiting`
    count requests.
    """

    __slots__ = (
        "versions_by_model",
        "is_executing_order",
        "accepted_order_count",
        "running",
        "waiting",
    )

    def __init__(
        self,
        versions_by_model,
        is_executing_order,
        accepted_order_count,
        running,
        waiting,
    ):
        self.versions_by_model = versions_by_model
        self.is_executing_order = is_executing_order
        self.accepted_order_count = accepted_order_count
        self.running = running
        self.waiting = waiting
