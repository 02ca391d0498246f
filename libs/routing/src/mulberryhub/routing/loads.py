"""What a router knows of the load of each engine: its own work and late reports."""


class EngineLoad:
    """Load of one engine as seen from this router.

    `own_tokens` are prompt tokens sent to it that have no first token yet and
    `own_running` requests that have not ended. `reported_tokens` and
    `reported_running` were true at `reported_at`, when this router's part of them
    was about `own_tokens_then`.
    """

    __slots__ = (
        "own_tokens",
        "own_running",
        "reported_tokens",
        "reported_running",
        "reported_at",
        "own_tokens_then",
        "own_running_then",
    )

    def __init__(self):
        self.own_tokens = 0
        self.own_running = 0
        self.reported_tokens = 0
        self.reported_running = 0
        self.reported_at = None
        self.own_tokens_then = 0
        self.own_running_then = 0


class EngineLoads:
    """Loads of all engines by id."""

    __slots__ = ("by_id",)

    def __init__(self):
        self.by_id = {}

    def get(self, engine_id):
        """Return the load of `engine_id`, which starts with none."""
        load = self.by_id.get(engine_id)
        if load is None:
            load = self.by_id[engine_id] = EngineLoad()
        return load

    def started(self, engine_id, tokens):
        """Note that a request which computes `tokens` was sent."""
        load = self.get(engine_id)
        load.own_tokens += tokens
        load.own_running += 1

    def answered(self, engine_id, tokens):
        """Note that the first token of such a request has come."""
        load = self.get(engine_id)
        load.own_tokens = max(0, load.own_tokens - tokens)

    def ended(self, engine_id):
        """Note that a request has ended."""
        load = self.get(engine_id)
        load.own_running = max(0, load.own_running - 1)

    def reported(self, engine_id, report, at):
        """Note a report that was true at the time `at`, unless a newer one is known."""
        load = self.get(engine_id)
        if load.reported_at is not None and at < load.reported_at:
            return
        load.reported_tokens = report.queued_tokens
        load.reported_running = report.running + report.queued
        load.reported_at = at
        load.own_tokens_then = load.own_tokens
        load.own_running_then = load.own_running

    def forgotten(self, engine_id):
        """Drop what was reported by an incarnation that is gone."""
        load = self.get(engine_id)
        load.reported_tokens = 0
        load.reported_running = 0
        load.reported_at = None
