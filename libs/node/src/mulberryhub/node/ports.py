"""What a platform's adapter gives to a router."""


class PlatformPorts:
    """The functions and clients of an adapter.

    `store` has `read(topic, position, wait)` returning a Batch, `newest(topic)`
    returning a Listing, and `put_member(member)`; all may raise StoreUnavailable, and
    `read` HistoryLost. `read_operator(entry)`, `read_upstream(entry)` and
    `read_member(entry)` return a record, or None where the entry holds none.
    `log` is a log as `external.LogClient` is, for leases. `read_report(upstream)` and
    `send_order(upstream, order)` speak to upstreams that serve models,
    `read_kept_events(address, since)` and `read_all_kept(address)` to a store of kept
    KV cache.
    """

    __slots__ = (
        "store",
        "log",
        "read_operator",
        "read_upstream",
        "read_member",
        "dialect",
        "read_report",
        "send_order",
        "read_kept_events",
        "read_all_kept",
        "ready_path",
    )

    def __init__(
        self,
        store,
        log,
        read_operator,
        read_upstream,
        read_member,
        dialect,
        read_report,
        send_order,
        read_kept_events,
        read_all_kept,
        ready_path,
    ):
        self.store = store
        self.log = log
        self.read_operator = read_operator
        self.read_upstream = read_upstream
        self.read_member = read_member
        self.dialect = dialect
        self.read_report = read_report
        self.send_order = send_order
        self.read_kept_events = read_kept_events
        self.read_all_kept = read_all_kept
        self.ready_path = ready_path
