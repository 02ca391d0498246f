"""What a policy is asked and what it answers."""

import msgspec


class Scope(msgspec.Struct, frozen=True):
    """All that two requests must have in common to share cache entries."""

    workspace: str
    model: str
    version: str
    adapter: str = ""


class RouteRequest:
    """A prompt as seen by a policy.

    `chain` holds one digest for each block of the prompt, each covering all that
    stands before it, and `ends` the number of tokens up to the end of each block.
    `levels` are the indexes of blocks that end a part which other prompts may
    share, from the shortest to the longest; `tokens` is the whole prompt.
    """

    __slots__ = ("scope", "chain", "ends", "levels", "tokens")

    def __init__(self, scope, chain, ends, levels, tokens):
        self.scope = scope
        self.chain = chain
        self.ends = ends
        self.levels = levels
        self.tokens = tokens

    def placement_digest(self):
        """Return the digest of the longest part that may be shared."""
        return self.chain[self.levels[-1]] if self.levels else self.chain[-1]


class Decision:
    """The engines to try in order.

    `cost_by_id` holds the weighed cost in ms of each engine that was weighed.
    `first_token_time` is the expected time in ms to the first token on the first
    engine, None if it was not weighed.
    `missing_by_id` holds the tokens that each weighed engine is expected to
    compute; an engine that was not weighed is expected to compute all of them.
    `sightings_by_id` holds, for each level, the class of what was seen of it on
    the engine. A higher `priority` goes first on the engine.
    `waiting_by_id` holds the tokens sent to an engine that has not answered yet.
    """

    __slots__ = (
        "request",
        "order",
        "cost_by_id",
        "first_token_time",
        "missing_by_id",
        "sightings_by_id",
        "priority",
        "waiting_by_id",
    )

    def __init__(self, request, order, missing_by_id=None, priority=0):
        self.request = request
        self.order = order
        self.cost_by_id = {}
        self.first_token_time = None
        self.missing_by_id = missing_by_id or {}
        self.priority = priority
        self.sightings_by_id = {}
        self.waiting_by_id = {}

    def missing(self, engine_id):
        """Return the tokens that `engine_id` is expected to compute."""
        return self.missing_by_id.get(engine_id, self.request.tokens)
