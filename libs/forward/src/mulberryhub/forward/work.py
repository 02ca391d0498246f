"""Estimates the delay that a request causes for others at an upstream."""

PREFILL_TOKENS_PER_MS = 90  # prompt tokens that an engine processes
ANSWERING_DELAY_MS = 4  # by which a running answer delays the start of another
FULL_MEMORY_WAITING_DELAY_MS = 300  # if waiting requests need all of the KV cache
FULL_MEMORY_ANSWERING_DELAY_MS = 150  # if running answers use all of it
FULL_SLOTS_DELAY_MS = 300  # if all slots of a service without models are in use
DEFAULT_SLOT_COUNT = 6
# of shared tokens processed again where they are usually cached
CACHE_MISS_SHARE = 0.25


class Work:
    """The delay in ms that a request causes for others at its upstream.

    `before_answer` applies until its answer begins, `while_answering` from then on.
    `is_bound` is set if no other upstream can continue the request, `has_slot` if it
    occupies one of the configured slots, and `is_urgent` at the highest priority.
    """

    __slots__ = (
        "before_answer",
        "while_answering",
        "is_bound",
        "has_slot",
        "is_urgent",
    )

    def __init__(
        self,
        before_answer,
        while_answering,
        is_bound,
        has_slot=False,
        is_urgent=False,
    ):
        self.before_answer = before_answer
        self.while_answering = while_answering
        self.is_bound = is_bound
        self.has_slot = has_slot
        self.is_urgent = is_urgent


def prefill_time(call):
    """Return the usual time in ms in which an engine processes the prompt of `call`."""
    shared_tokens = sum(part.tokens for part in call.shared_parts)
    own_tokens = max(0, (call.prompt_tokens or 0) - shared_tokens)
    return (own_tokens + CACHE_MISS_SHARE * shared_tokens) / PREFILL_TOKENS_PER_MS


def estimate_work(call, service, upstream, is_bound, is_urgent=False):
    """Return the estimated Work of `call` at an upstream of `service`."""
    has_slot = bool(service.slots)
    if not service.models or call.prompt_tokens is None:
        delay = FULL_SLOTS_DELAY_MS / (upstream.slots or DEFAULT_SLOT_COUNT)
        return Work(delay, delay, is_bound, has_slot, is_urgent)
    prefill = prefill_time(call)
    memory_share = 0
    if service.kv_capacity:
        tokens = call.prompt_tokens + call.output_tokens
        memory_share = tokens / service.kv_capacity
    before_answer = ANSWERING_DELAY_MS + FULL_MEMORY_WAITING_DELAY_MS * memory_share
    while_answering = ANSWERING_DELAY_MS + FULL_MEMORY_ANSWERING_DELAY_MS * memory_share
    return Work(prefill + before_answer, while_answering, is_bound, has_slot, is_urgent)
