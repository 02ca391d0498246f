"""A small model of engines: a prefix cache, a prefill lane and decode slots.

It stands in for engine processes where only the decisions of routing count. Times
are in ms.
"""

from collections import OrderedDict
from heapq import heappop, heappush

PREFILL_COST = 0.05  # ms per token
IMPORT_COST = 0.005  # ms per token
IMPORT_DELAY = 5  # ms
STEP = 10  # ms, fixed part of a prefill
TOKEN_TIME = 10  # ms
SLOTS = 16


class Report:
    """What an engine reports of its load."""

    __slots__ = ("running", "queued", "queued_tokens")

    def __init__(self, running, queued, queued_tokens):
        self.running = running
        self.queued = queued
        self.queued_tokens = queued_tokens


class Job:
    """One request on an engine.

    `first(now, job)` is called with its first token and `end(now, job)` with its
    last; `lost(now)` instead when the engine crashes before the first.
    """

    __slots__ = (
        "request",
        "call",
        "first",
        "end",
        "lost",
        "priority",
        "cached",
        "wasted",
    )

    def __init__(self, request, call, first, end, lost, priority=0):
        self.request = request
        self.call = call
        self.first = first
        self.end = end
        self.lost = lost
        self.priority = priority
        self.cached = 0
        self.wasted = 0


class Engine:
    """One engine in model time; `later(delay, function)` calls back."""

    def __init__(self, number, cache_blocks, later, held_elsewhere):
        self.id = f"engine-{number}"
        self.prefill_cost = PREFILL_COST
        self.slots = SLOTS
        self.cache_blocks = cache_blocks
        self.blocks = OrderedDict()
        self.waiting = []
        self.running = 0
        self.busy_until = 0.0
        self.busy_total = 0.0
        self.prefilling = None
        self.is_live = True
        self.incarnation = 0
        self._sequence = 0
        self._later = later
        self._held_elsewhere = held_elsewhere

    def send(self, job, now):
        """Take in a job."""
        self._sequence += 1
        heappush(self.waiting, (-job.priority, self._sequence, job))
        self._work(now)

    def report(self):
        """Return the load as it is now."""
        jobs = [job for _, _, job in self.waiting]
        if self.prefilling:
            jobs.append(self.prefilling)
        tokens = sum(self.missing(job.request) for job in jobs)
        return Report(self.running, len(self.waiting), tokens)

    def wait(self, now):
        """Return the true time until the lane has done what it has."""
        waiting = sum(
            STEP + PREFILL_COST * self.missing(job.request)
            for _, _, job in self.waiting
        )
        return max(0.0, self.busy_until - now) + waiting

    def missing(self, request):
        """Return the tokens of `request` that are not in the cache."""
        return request.tokens - self.cached(request)

    def cached(self, request):
        """Return the tokens at the start of `request` that are in the cache."""
        tokens = 0
        for digest, end in zip(request.chain, request.cumulative_tokens):
            if digest not in self.blocks:
                break
            tokens = end
        return tokens

    def crash(self, now):
        """Lose all blocks and jobs; return the jobs."""
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

    def _work(self, now):
        if self.prefilling or not self.waiting or self.running >= self.slots:
            return
        job = heappop(self.waiting)[2]
        self.prefilling = job
        self.running += 1
        job.cached = self.cached(job.request)
        job.wasted = self._held_elsewhere(self, job.request, job.cached)
        duration = STEP + PREFILL_COST * (job.request.tokens - job.cached)
        self.busy_until = now + duration
        self.busy_total += duration
        self._later(duration, self._first, job, self.incarnation)

    def _first(self, now, job, incarnation):
        if incarnation != self.incarnation:
            return
        self.prefilling = None
        self._store(job.request)
        job.first(now, job)
        self._later(TOKEN_TIME * job.call.output_tokens, self._end, job, incarnation)
        self._work(now)

    def _end(self, now, job, incarnation):
        if incarnation != self.incarnation:
            return
        self.running -= 1
        job.end(now, job)
        self._work(now)

    def _store(self, request):
        """Keep the blocks, the deepest as the oldest so that it goes first."""
        for digest in reversed(request.chain):
            self.blocks[digest] = True
            self.blocks.move_to_end(digest)
        while len(self.blocks) > self.cache_blocks:
            self.blocks.popitem(last=False)
