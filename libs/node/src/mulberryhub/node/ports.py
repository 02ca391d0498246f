"""The interface between a router and the adapter of its platform."""


class PlatformPorts:
    """The functions and clients that a platform's adapter provides.

    `store` has `read(topic, position, wait)`, a long poll of `wait` ms that returns a
    Batch; `newest(topic)`, which returns a Listing; `put_member(member)`; and
    `put_record(record)` for another record of routers. All may raise StoreUnavailable,
    and `read` also HistoryLost.
    `read_operator(entry)`, `read_upstream(entry)` and `read_member(entry)` return the
    record in an Entry, or None if it has none.

    `log` has the interface of `external.log.LogClient` and is used for leases.
    `software_marks` are described in `fleet.software_marks`, and `stream_records` in
    `fleet.origin_log`. `release_store` has `read()`, which returns a ReleaseListing,
    and `save(saved, end)` and `put_status(record, end)`, which return the end after a
    write; all may raise StoreUnavailable. `ordered_service(key)` returns the service
    whose release the operator's record of this key orders, or None.
    `dialect` is a Dialect, which translates requests and answers. `read_report` and
    `send_order` call upstreams that serve models, with the parameters `(upstream)` and
    `(upstream, order)`. `read_cache_events(address, since)` and
    `read_all_cached_parts(address)` read from a KV cache store, as `read_events` and
    `read_all` of CacheWatcher do. `readiness_path` is the path of the readiness probe.
    """

    __slots__ = (
        "store",
        "log",
        "software_marks",
        "stream_records",
        "release_store",
        "ordered_service",
        "read_operator",
        "read_upstream",
        "read_member",
        "dialect",
        "read_report",
        "send_order",
        "read_cache_events",
        "read_all_cached_parts",
        "readiness_path",
    )

    def __init__(
        self,
        store,
        log,
        software_marks,
        stream_records,
        release_store,
        ordered_service,
        read_operator,
        read_upstream,
        read_member,
        dialect,
        read_report,
        send_order,
        read_cache_events,
        read_all_cached_parts,
        readiness_path,
    ):
        self.store = store
        self.log = log
        self.software_marks = software_marks
        self.stream_records = stream_records
        self.release_store = release_store
        self.ordered_service = ordered_service
        self.read_operator = read_operator
        self.read_upstream = read_upstream
        self.read_member = read_member
        self.dialect = dialect
        self.read_report = read_report
        self.send_order = send_order
        self.read_cache_events = read_cache_events
        self.read_all_cached_parts = read_all_cached_parts
        self.readiness_path = readiness_path
