"""Input and output of a routing policy: requests and decisions."""

import msgspec


class Scope(msgspec.Struct, frozen=True):
    """The attributes that two requests must share to reuse each other's KV cache."""

    workspace: str
    model: str
    version: str
    adapter: str = ""


class RouteRequest:
    """A prompt as a routing policy sees it: block digests and token counts.

    `chain` holds one digest for each block of the prompt, covering the block and all
    blocks before it. `cumulative_tokens` holds the cumulative token count at the end of
    each block. `shared_prefix_blocks` are the indexes of the blocks that end a prefix
    which other prompts may share, from the shortest prefix to the longest. `tokens` is
    the length of the whole prompt.
    """

    __slots__ = (
        "scope",
        "chain",
        "cumulative_tokens",
        "shared_prefix_blocks",
        "tokens",
    )

    def __init__(self, scope, chain, cumulative_tokens, shared_prefix_blocks, tokens):
        self.scope = scope
        self.chain = chain
        self.cumulative_tokens = cumulative_tokens
        self.shared_prefix_blocks = shared_prefix_blocks
        self.tokens = tokens

    def placement_digest(self):
        """Return the digest of the longest shareable prefix.

        A prompt without one is placed by the digest of the whole prompt.
        """
        return (
            self.chain[self.shared_prefix_blocks[-1]]
            if self.shared_prefix_blocks
            else self.chain[-1]
        )


class Decision:
    """The result of a policy: engine ids to try, the best first, with their costs.

    `cost_by_id` holds the weighted cost in ms of each engine that was evaluated.
    `expected_first_token_time` is the expected time in ms to the first token on the
    first engine, None if that engine was not evaluated.
    `uncached_tokens_by_id` holds the prompt tokens that each evaluated engine is
    expected to compute because they are not in its cache; an engine that was not
    evaluated is expected to compute all of them.
    `retention_buckets_by_id` holds, for each evaluated engine, the bucket of the
    RetentionEstimator that was used for each shareable prefix of the request.
    Engines serve requests with a higher `priority` first.
    `outstanding_tokens_by_id` holds the tokens that each engine was sent and has not
    answered yet.
    """

    __slots__ = (
        "request",
        "ranked_engine_ids",
        "cost_by_id",
        "expected_first_token_time",
        "uncached_tokens_by_id",
        "retention_buckets_by_id",
        "priority",
        "outstanding_tokens_by_id",
    )

    def __init__(
        self, request, ranked_engine_ids, uncached_tokens_by_id=None, priority=0
    ):
        self.request = request
        self.ranked_engine_ids = ranked_engine_ids
        self.cost_by_id = {}
        self.expected_first_token_time = None
        self.uncached_tokens_by_id = uncached_tokens_by_id or {}
        self.priority = priority
        self.retention_buckets_by_id = {}
        self.outstanding_tokens_by_id = {}

    def uncached_tokens(self, engine_id):
        """Return the prompt tokens that `engine_id` is expected to compute."""
        return self.uncached_tokens_by_id.get(engine_id, self.request.tokens)
