"""Continuous batching for the engine stand-in: slots, prefill and decoding."""

from heapq import heappop, heappush

import msgspec

from mulberryhub.base.green import Event, Semaphore, spawn_n
from mulberryhub.standins.engine_cache import Block
from mulberryhub.standins.engine_text import answer_seed, block_digests, token_text
from mulberryhub.standins.server import sleep_ms


class EngineOptions(msgspec.Struct):
    """Capacity and timing of an engine; costs, times and delays are in ms.

    The options of the engine's command line have the same names and defaults.
    """

    block_tokens: int = 2_000
    cache_tokens: int = 400_000
    prefill_cost: float = 0.05
    token_time: float = 20.0
    slots: int = 16
    version: str = "1"
    checks_fencing: bool = False
    load_time: int = 1_000
    load_lag: int = 0
    event_delay: int = 0
    event_gap: int = 0
    orphan_timeout: int = 10_000


class Sequence:
    """A request in the batch and the tokens generated for it so far.

    `start_index` is the index of the first token to generate; it is above 0 for a
    request that continues an answer begun elsewhere. `last_read_at` is the clock time
    in ms at which the request was submitted or a reader last disconnected.
    """

    __slots__ = (
        "id",
        "scope",
        "model",
        "version",
        "prompt",
        "prompt_tokens",
        "max_tokens",
        "priority",
        "tokens",
        "start_index",
        "cached_tokens",
        "finish_reason",
        "aborted",
        "readers",
        "last_read_at",
        "_change_event",
    )

    def __init__(self, id, prompt, scope="", model="", version="", priority=0):
        self.id = id
        self.scope = scope
        self.model = model
        self.version = version
        self.prompt = prompt
        self.prompt_tokens = len(prompt.split())
        self.max_tokens = 16
        self.priority = priority
        self.tokens = []
        self.start_index = 0
        self.cached_tokens = 0
        self.finish_reason = None
        self.aborted = False
        self.readers = 0
        self.last_read_at = 0
        self._change_event = Event()

    @property
    def next_index(self):
        """Return the index of the next token to generate."""
        return self.start_index + len(self.tokens)

    @property
    def active(self):
        """Return whether the sequence is neither finished nor aborted."""
        return self.finish_reason is None and not self.aborted

    def notify(self):
        """Wake all tasks that wait for a change."""
        change_event, self._change_event = self._change_event, Event()
        change_event.send()

    def wait(self):
        """Block until the next token, or until the sequence ends."""
        self._change_event.wait()

    def finish(self, reason):
        """End the answer with the finish reason `reason`, if it is still active."""
        if self.active:
            self.finish_reason = reason
            self.notify()

    def abort(self):
        """End the answer without a finish reason, as an engine crash does."""
        self.aborted = True
        self.notify()


class Batch:
    """Runs up to `options.slots` sequences at once, higher priorities first."""

    __slots__ = (
        "options",
        "cache",
        "faults",
        "running",
        "_clock",
        "_waiting",
        "_submitted_count",
        "_prefill_lock",
    )

    def __init__(self, options, cache, faults, clock):
        self.options = options
        self.cache = cache
        self.faults = faults
        self.running = []
        self._clock = clock
        self._waiting = []
        self._submitted_count = 0
        self._prefill_lock = Semaphore(1)

    def submit(self, sequence):
        """Queue `sequence` until a slot is free."""
        self._submitted_count += 1
        heappush(self._waiting, (-sequence.priority, self._submitted_count, sequence))
        self._fill_slots()

    def abort_all(self):
        """Abort all queued and running sequences, as an engine crash does."""
        for sequence in [*self.queued, *self.running]:
            sequence.abort()
        self._waiting.clear()

    @property
    def queued(self):
        """Return the active sequences that wait for a slot."""
        return [sequence for *_, sequence in self._waiting if sequence.active]

    def _fill_slots(self):
        while self._waiting and len(self.running) < self.options.slots:
            *_, sequence = heappop(self._waiting)
            if sequence.active:
                self.running.append(sequence)
                spawn_n(self._run, sequence)

    def _run(self, sequence):
        try:
            self._prefill(sequence)
            self._generate(sequence)
        finally:
            if sequence.active:
                sequence.abort()
            self.running.remove(sequence)
            self._fill_slots()

    def _prefill(self, sequence):
        options = self.options
        digests = block_digests(sequence.prompt, sequence.scope, options.block_tokens)
        with self._prefill_lock:
            if not sequence.active:
                return
            cached_tokens = self.cache.match(sequence.scope, digests, sequence.version)
            sequence.cached_tokens = cached_tokens
            uncached_tokens = (
                sequence.prompt_tokens + sequence.start_index - cached_tokens
            )
            sleep_ms(
                uncached_tokens * options.prefill_cost * self.faults.get("slow", 1)
            )
        if sequence.active:
            self.faults.crash_if_poisoned(sequence.prompt)
            self._store(sequence, digests)

    def _store(self, sequence, digests):
        tokens = self.options.block_tokens
        for digest in digests:
            self.cache.store(Block(sequence.scope, digest, tokens, sequence.version))

    def _generate(self, sequence):
        seed = answer_seed(sequence.prompt)
        while sequence.active and sequence.next_index < sequence.max_tokens:
            sleep_ms(self.options.token_time * self.faults.get("slow", 1))
            if not sequence.active:
                return
            sequence.tokens.append(token_text(seed, sequence.next_index))
            sequence.notify()
            if self._is_orphaned(sequence):
                sequence.finish("abandoned")
        sequence.finish("length")

    def _is_orphaned(self, sequence):
        idle_ms = self._clock.now() - sequence.last_read_at
        return not sequence.readers and idle_ms > self.options.orphan_timeout
