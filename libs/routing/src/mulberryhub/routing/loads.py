"""Load of engines: own requests, requests of peer routers, and engine reports."""

from math import exp

REPORT_DECAY_MS = 3_000  # time constant of the exponential decay
REPORT_SMOOTHING_FACTOR = 0.2
PEER_LOAD_LIFETIME_MS = 1_000


class EngineLoad:
    """Load of one engine.

    `own_tokens` are the prompt tokens that this router sent to the engine and that
    await a first token; `own_request_count` counts its requests that have not ended.
    `reported_tokens` and `reported_request_count` are from the newest report, which
    was valid at `reported_at` ms; `smoothed_tokens` is the exponential moving average
    of the reported tokens.
    """

    __slots__ = (
        "own_tokens",
        "own_request_count",
        "reported_tokens",
        "reported_request_count",
        "reported_at",
        "smoothed_tokens",
    )

    def __init__(self):
        self.own_tokens = 0
        self.own_request_count = 0
        self.clear_reports()

    def add_report(self, report, reported_at):
        """Record a report valid at `reported_at` ms; ignore it if a newer is known."""
        if self.reported_at is not None and reported_at < self.reported_at:
            return
        self.reported_tokens = report.queued_tokens
        self.reported_request_count = report.running + report.queued
        self.reported_at = reported_at
        self.smoothed_tokens += REPORT_SMOOTHING_FACTOR * (
            self.reported_tokens - self.smoothed_tokens
        )

    def clear_reports(self):
        """Discard all reported load."""
        self.reported_tokens = 0
        self.reported_request_count = 0
        self.reported_at = None
        self.smoothed_tokens = 0.0

    def decayed_tokens(self, now):
        """Return the smoothed reported tokens, decayed by the age of the report."""
        if self.reported_at is None:
            return 0.0
        age = max(0, now - self.reported_at)
        return self.smoothed_tokens * exp(-age / REPORT_DECAY_MS)


class EngineLoads:
    """The load of each engine by id, and the outstanding tokens of peer routers."""

    __slots__ = ("by_id", "_peer_loads_by_name")

    def __init__(self):
        self.by_id = {}
        self._peer_loads_by_name = {}

    def get(self, engine_id):
        """Return the EngineLoad of `engine_id`, created empty if there is none."""
        load = self.by_id.get(engine_id)
        if load is None:
            load = self.by_id[engine_id] = EngineLoad()
        return load

    def outstanding_tokens_by_engine(self):
        """Return this router's prompt tokens that await a first token, by engine id."""
        return {
            engine_id: load.own_tokens
            for engine_id, load in self.by_id.items()
            if load.own_tokens
        }

    def set_peer_load(self, peer, outstanding_tokens_by_engine, now):
        """Replace the outstanding tokens of the router `peer`, as of `now` ms."""
        self._peer_loads_by_name[peer] = (now, outstanding_tokens_by_engine)

    def peer_tokens(self, engine_id, now):
        """Return the outstanding tokens of all peers on `engine_id`.

        Updates older than PEER_LOAD_LIFETIME_MS do not count.
        """
        return sum(
            outstanding_tokens_by_engine.get(engine_id, 0)
            for updated_at, outstanding_tokens_by_engine in (
                self._peer_loads_by_name.values()
            )
            if now - updated_at <= PEER_LOAD_LIFETIME_MS
        )
