"""How much delay a request causes at an upstream, from what it declares."""

TOKENS_PER_MS = 90  # prompt tokens that an engine reads in a ms
ANSWERING = 4  # ms by which a running answer delays the start of another
FULL_MEMORY = 300  # ms of delay where running requests take the whole memory
FULL_SLOTS = 300  # ms of delay at a plain service whose slots are all taken
DEFAULT_SLOTS = 6
MISS_SHARE = 0.25  # of the shared tokens that are read where they are usually kept


class Work:
    """Delay in ms for others: until the answer begins, and while it goes on.

    `is_bound` tells that no other upstream can go on with the request.
    """

    __slots__ = ("before_answer", "answering", "is_bound")

    def __init__(self, before_answer, answering, is_bound):
        self.before_answer = before_answer
        self.answering = answering
        self.is_bound = is_bound


def work_of(call, service, upstream, is_bound):
    """Return the Work of `call` at an upstream of `service`."""
    if not service.models or call.prompt_tokens is None:
        delay = FULL_SLOTS / (upstream.slots or DEFAULT_SLOTS)
        return Work(delay, delay, is_bound)
    shared = sum(part.tokens for part in call.shared_parts)
    own = max(0, call.prompt_tokens - shared)
    reading = (own + MISS_SHARE * shared) / TOKENS_PER_MS
    answering = ANSWERING
    if service.kv_capacity:
        tokens = call.prompt_tokens + call.output_tokens
        answering += FULL_MEMORY * tokens / service.kv_capacity
    return Work(reading + answering, answering, is_bound)
