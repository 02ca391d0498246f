"""Simulates engines with a prefix cache, sequential prefill and decode slots.

The simulation replaces engine processes when only routing decisions are measured.
Times are in ms of simulated time.
"""

from collections import OrderedDict
from heapq import heappop, heappush

PREFILL_MS_PER_TOKEN = 0.05
IMPORT_MS_PER_TOKEN = 0.005
IMPORT_DELAY_MS = 5
PREFILL_OVERHEAD_MS = 10  # fixed part of the duration of a prefill
DECODE_MS_PER_TOKEN = 10
SLOT_COUNT = 16


class Report:
    """A load report of an engine; `queued` and `running` are numbers of requests."""

    __slots__ = ("running", "queued", "queued_tokens")

    def __init__(self, running, queued, queued_tokens):
        self.running = running
        self.queued = queued
        self.queued_tokens = queued_tokens


class Job:
    """One request on an engine.

    The engine calls `on_first_token(now, job)` after the prefill and
    `on_end(now, job)` after the last token. `on_lost(now)` is for the caller of
    `Engine.crash`, which returns the jobs that have no first token yet. The engine
    sets `cached` to the tokens that it found in its cache and `wasted` to those that
    it recomputed although another engine had them cached.
    """

    __slots__ = (
        "request",
        "call",
        "on_first_token",
        "on_end",
        "on_lost",
        "priority",
        "cached",
        "wasted",
    )

    def __init__(self, request, call, on_first_token, on_end, on_lost, priority=0):
        self.request = request
        self.call = call
        self.on_first_token = on_first_token
        self.on_end = on_end
        self.on_lost = on_lost
        self.priority = priority
        self.cached = 0
        self.wasted = 0


class Engine:
    """A simulated engine.

    Routing policies use it in place of an upstream, through `id` and `prefill_cost` in
    ms per token. `slots` limits the jobs in prefill or decode, and `busy_total_ms` is
    the total time spent on prefill.
    """

    def __init__(self, number, cache_blocks, later, cached_elsewhere):
        """Create an engine with an empty cache that holds `cache_blocks` blocks.

        `later(delay, function, *arguments)` calls `function(now, *arguments)` after
        `delay` ms. `cached_elsewhere(engine, request, cached)` returns the tokens after
        the first `cached` that another engine has in its cache.
        """
        self.id = f"engine-{number}"
        self.prefill_cost = PREFILL_MS_PER_TOKEN
        self.slots = SLOT_COUNT
        self.cache_blocks = cache_blocks
        self.blocks = OrderedDict()
        self.waiting = []
        self.running = 0
        self.busy_until = 0.0
        self.busy_total_ms = 0.0
        self.prefilling = None
        self.is_live = True
        self.incarnation = 0
        self._last_sequence = 0
        self._schedule = later
        self._cached_elsewhere = cached_elsewhere

    def submit(self, job, now):
        """Queue a job; jobs of higher priority start first."""
        self._last_sequence += 1
        heappush(self.waiting, (-job.priority, self._last_sequence, job))
        self._start_prefill(now)

    def report(self):
        """Return a Report of the current load."""
        jobs = [job for _, _, job in self.waiting]
        if self.prefilling:
            jobs.append(self.prefilling)
        tokens = sum(self.uncached_tokens(job.request) for job in jobs)
        return Report(self.running, len(self.waiting), tokens)

    def queue_delay_ms(self, now):
        """Return the time in ms until all queued prefills are done."""
        waiting = sum(
            PREFILL_OVERHEAD_MS
            + PREFILL_MS_PER_TOKEN * self.uncached_tokens(job.request)
            for _, _, job in self.waiting
        )
        return max(0.0, self.busy_until - now) + waiting

    def uncached_tokens(self, request):
        """Return the number of tokens of `request` that are not in the cache."""
        return request.tokens - self.cached_tokens(request)

    def cached_tokens(self, request):
        """Return the number of tokens in the longest cached prefix of `request`."""
        tokens = 0
        for digest, end in zip(request.chain, request.cumulative_tokens):
            if digest not in self.blocks:
                break
            tokens = end
        return tokens

    def crash(self, now):
        """Drop all blocks and jobs; return the jobs that have no first token yet."""
        jobs = [job for _, _, job in self.waiting]
        if self.prefilling:
            jobs.append(self.prefilling)
        self.blocks.clear()
        self.waiting.clear()
        self.prefilling = None
        self.running = 0
        self.busy_until = now
        self.incarnation += 1
        return jobs

    def _start_prefill(self, now):
        if self.prefilling or not self.waiting or self.running >= self.slots:
            return
        job = heappop(self.waiting)[2]
        self.prefilling = job
        self.running += 1
        job.cached = self.cached_tokens(job.request)
        job.wasted = self._cached_elsewhere(self, job.request, job.cached)
        duration = PREFILL_OVERHEAD_MS + PREFILL_MS_PER_TOKEN * (
            job.request.tokens - job.cached
        )
        self.busy_until = now + duration
        self.busy_total_ms += duration
        self._schedule(duration, self._finish_prefill, job, self.incarnation)

    def _finish_prefill(self, now, job, incarnation):
        if incarnation != self.incarnation:
            return
        self.prefilling = None
        self._store_blocks(job.request)
        job.on_first_token(now, job)
        self._schedule(
            DECODE_MS_PER_TOKEN * job.call.output_tokens,
            self._finish_job,
            job,
            incarnation,
        )
        self._start_prefill(now)

    def _finish_job(self, now, job, incarnation):
        if incarnation != self.incarnation:
            return
        self.running -= 1
        job.on_end(now, job)
        self._start_prefill(now)

    def _store_blocks(self, request):
        """Cache the blocks of a prompt and evict the least recently used.

        The blocks are stored in reverse order, so that the end of a prompt is
        evicted before the prefix that it depends on.
        """
        for digest in reversed(request.chain):
            self.blocks[digest] = True
            self.blocks.move_to_end(digest)
        while len(self.blocks) > self.cache_blocks:
            self.blocks.popitem(last=False)
