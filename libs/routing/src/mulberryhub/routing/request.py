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
    blocks before it. `ends` holds the cumulative token count at the end of each
    block. `levels` are the indexes of the blocks that end a prefix which other
    prompts may share, from the shortest prefix to the longest. `tokens` is the length
    of the whole prompt.
    """

    __slots__ = ("scope", "chain", "ends", "levels", "tokens")

    def __init__(self, scope, chain, ends, levels, tokens):
        self.scope = scope
        self.chain = chain
        self.ends = ends
        self.levels = levels
        self.tokens = tokens

    def placement_digest(self):
        """Return the digest of the longest shareable prefix.

        A prompt without one is placed by the digest of the whole prompt.
        """
        return self.chain[self.levels[-1]] if self.levels else self.chain[-1]


class Decision:
    """The result of a policy: engine ids to try, the best first, with their costs.

    `cost_by_id` holds the weighted cost in ms of each engine that was evaluated.
    `expected_first_token_time` is the expected time in ms to the first token on the
    first engine, None if that engine was not evaluated.
    `missing_by_id` holds the prompt tokens that each evaluated engine is expected to
    compute because they are not in its cache; an engine that was not evaluated is
    expected to compute all of them.
    `retention_buckets_by_id` holds, for each evaluated engine, the bucket of the
    RetentionEstimator that was used for each shareable prefix of the request.
    Engines serve requests with a higher `priority` first.
    `outstanding_tokens_by_id` holds the tokens that each engine was sent and has not
    answered yet.
    """

    __slots__ = (
        "request",
        "order",
        "cost_by_id",
        "expected_first_token_time",
        "missing_by_id",
        "retention_buckets_by_id",
        "priority",
        "outstanding_tokens_by_id",
    )

    def __init__(self, request, order, missing_by_id=None, priority=0):
        self.request = request
        self.order = order
        self.cost_by_id = {}
        self.expected_first_token_time = None
        self.missing_by_id = missing_by_id or {}
        self.priority = priority
        self.retention_buckets_by_id = {}
        self.outstanding_tokens_by_id = {}

    def uncached_tokens(self, engine_id):
        """Return the prompt tokens that `engine_id` is expected to compute."""
        return self.missing_by_id.get(engine_id, self.request.tokens)
