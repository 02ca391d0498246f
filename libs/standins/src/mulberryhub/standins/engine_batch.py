"""Continuous batching of the engine stand-in: slots, prefill and generation."""

from heapq import heappop, heappush

import msgspec

from mulberryhub.base.green import Event, Semaphore, spawn_n
from mulberryhub.standins.engine_cache import Block
from mulberryhub.standins.engine_text import answer_seed, block_digests, token_text
from mulberryhub.standins.server import pause


class EngineOptions(msgspec.Struct):
    """Sizes and speeds of an engine; costs, times and delays are in ms."""

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
    """One request on the engine and the tokens of its answer so far."""

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
        "start",
        "cached_tokens",
        "finish_reason",
        "broken",
        "readers",
        "left_at",
        "_changed",
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
        self.start = 0
        self.cached_tokens = 0
        self.finish_reason = None
        self.broken = False
        self.readers = 0
        self.left_at = 0
        self._changed = Event()

    @property
    def next_index(self):
        """Return the index of the token to be generated next."""
        return self.start + len(self.tokens)

    @property
    def active(self):
        """Return whether the engine still works on the request."""
        return self.finish_reason is None and not self.broken

    def notify(self):
        """Wake all readers."""
        changed, self._changed = self._changed, Event()
        changed.send()

    def wait(self):
        """Wait for the next change."""
        self._changed.wait()

    def finish(self, reason):
        """End the answer."""
        if self.active:
            self.finish_reason = reason
            self.notify()

    def break_off(self):
        """Drop the answer, as a crash of the engine does."""
        self.broken = True
        self.notify()


class Batch:
    """Runs up to `options.slots` sequences, those of higher priority first."""

    __slots__ = (
        "options",
        "cache",
        "faults",
        "running",
        "_clock",
        "_waiting",
        "_order",
        "_gpu",
    )

    def __init__(self, options, cache, faults, clock):
        self.options = options
        self.cache = cache
        self.faults = faults
        self.running = []
        self._clock = clock
        self._waiting = []
        self._order = 0
        self._gpu = Semaphore(1)

    def submit(self, sequence):
        """Queue `sequence` until a slot is free."""
        self._order += 1
        heappush(self._waiting, (-sequence.priority, self._order, sequence))
        self._fill_slots()

    def drop_all(self):
        """Break off all sequences, as a crash does."""
        for sequence in [*self.queued, *self.running]:
            sequence.break_off()
        self._waiting.clear()

    @property
    def queued(self):
        """Return the sequences that wait for a slot."""
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
                sequence.break_off()
            self.running.remove(sequence)
            self._fill_slots()

    def _prefill(self, sequence):
        options = self.options
        digests = block_digests(sequence.prompt, sequence.scope, options.block_tokens)
        with self._gpu:
            if not sequence.active:
                return
            cached = self.cache.match(sequence.scope, digests, sequence.version)
            sequence.cached_tokens = cached
            missing = sequence.prompt_tokens + sequence.start - cached
            pause(missing * options.prefill_cost * self.faults.get("slow", 1))
        if sequence.active:
            self.faults.check_poison(sequence.prompt)
            self._store(sequence, digests)

    def _store(self, sequence, digests):
        tokens = self.options.block_tokens
        for digest in digests:
            self.cache.store(Block(sequence.scope, digest, tokens, sequence.version))

    def _generate(self, sequence):
        seed = answer_seed(sequence.prompt)
        while sequence.active and sequence.next_index < sequence.max_tokens:
            pause(self.options.token_time * self.faults.get("slow", 1))
            if not sequence.active:
                return
            sequence.tokens.append(token_text(seed, sequence.next_index))
            sequence.notify()
            if self._is_orphan(sequence):
                sequence.finish("abandoned")
        sequence.finish("length")

    def _is_orphan(self, sequence):
        idle = self._clock.now() - sequence.left_at
        return not sequence.readers and idle > self.options.orphan_timeout
