"""What all relays of a router share."""


class RelayDependencies:
    """The dependencies that all relays of a router share.

    `confirmed_view()` returns the configuration in force, or raises ApiError while
    it is not confirmed. `resume_token_signer` signs resume tokens.
    """

    __slots__ = (
        "engine_client",
        "policy",
        "health",
        "engine_monitor",
        "retry_budget",
        "resume_token_signer",
        "suspects",
        "confirmed_view",
        "counters",
        "clock",
    )

    def __init__(
        self,
        engine_client,
        policy,
        health,
        engine_monitor,
        retry_budget,
        resume_token_signer,
        suspects,
        confirmed_view,
        counters,
        clock,
    ):
        self.engine_client = engine_client
        self.policy = policy
        self.health = health
        self.engine_monitor = engine_monitor
        self.retry_budget = retry_budget
        self.resume_token_signer = resume_token_signer
        self.suspects = suspects
        self.confirmed_view = confirmed_view
        self.counters = counters
        self.clock = clock
