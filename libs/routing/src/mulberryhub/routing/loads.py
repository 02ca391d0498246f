"""What a router knows of the load of engines: own work, peers' work, late reports."""

from math import exp

REPORT_LIFETIME = 3_000  # ms
REPORT_GAIN = 0.2
PEER_LIFETIME = 1_000  # ms


class EngineLoad:
    """Load of one engine.

    `own_tokens` are prompt tokens sent to it that have no first token yet and
    `own_running` requests that have not ended. `reported_tokens` and
    `reported_running` are from the newest report, which was true at `reported_at`;
    `smooth_tokens` is the average of reports.
    """

    __slots__ = (
        "own_tokens",
        "own_running",
        "reported_tokens",
        "reported_running",
        "reported_at",
        "smooth_tokens",
    )

    def __init__(self):
        self.own_tokens = 0
        self.own_running = 0
        self.forget_reports()

    def report(self, report, at):
        """Note a report that was true at the time `at`, unless a newer one is known."""
        if self.reported_at is not None and at < self.reported_at:
            return
        self.reported_tokens = report.queued_tokens
        self.reported_running = report.running + report.queued
        self.reported_at = at
        self.smooth_tokens += REPORT_GAIN * (self.reported_tokens - self.smooth_tokens)

    def forget_reports(self):
        """Drop what was reported."""
        self.reported_tokens = 0
        self.reported_running = 0
        self.reported_at = None
        self.smooth_tokens = 0.0

    def discounted_tokens(self, now):
        """Return the reported tokens, worth less the older the report is."""
        if self.reported_at is None:
            return 0.0
        age = max(0, now - self.reported_at)
        return self.smooth_tokens * exp(-age / REPORT_LIFETIME)


class EngineLoads:
    """Loads of all engines by id, and the work of peers by router."""

    __slots__ = ("by_id", "_peers_by_name")

    def __init__(self):
        self.by_id = {}
        self._peers_by_name = {}

    def get(self, engine_id):
        """Return the load of `engine_id`, which starts with none."""
        load = self.by_id.get(engine_id)
        if load is None:
            load = self.by_id[engine_id] = EngineLoad()
        return load

    def outstanding(self):
        """Return this router's tokens without a first token, by engine."""
        return {
            engine_id: load.own_tokens
            for engine_id, load in self.by_id.items()
            if load.own_tokens
        }

    def heard(self, peer, outstanding_by_engine, now):
        """Note the work of the router `peer`."""
        self._peers_by_name[peer] = (now, outstanding_by_engine)

    def peer_tokens(self, engine_id, now):
        """Return the tokens that peers have outstanding, as far as heard lately."""
        return sum(
            outstanding.get(engine_id, 0)
            for at, outstanding in self._peers_by_name.values()
            if now - at <= PEER_LIFETIME
        )
