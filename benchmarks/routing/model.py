"""Drives policy objects of several routers against the model of engines."""

from heapq import heappop, heappush
from itertools import count
from random import Random

from benchmarks.routing.engines import Engine, Job
from benchmarks.routing.profiles import BLOCK
from mulberryhub.base.errors import ApiError
from mulberryhub.routing.exchange import EXCHANGE_PERIOD_MS, peers_to_call
from mulberryhub.routing.prefix_chain import prefix_chain
from mulberryhub.routing.refusal import refuse_if_late
from mulberryhub.routing.request import RouteRequest, Scope

ROUTERS = 6
REPORT_PERIOD = 1_000  # ms
REPORT_LAG = (1_000, 3_000)  # ms
EXCHANGE_DELAY = 1  # ms
DEADLINE = 30_000  # ms
RETRY_DELAY = 200  # ms
FAULT_AT = 30_000  # ms
CUT_TIME = 10_000  # ms


class ModelClock:
    """The time of the model, for the policies."""

    def __init__(self):
        self.time = 0.0

    def now(self):
        """Return the time in ms."""
        return int(self.time)


class Result:
    """What became of one call."""

    __slots__ = ("call", "tokens", "cached", "wasted", "first_token_time", "engine")

    def __init__(self, call, tokens, job, first_token_time, engine):
        self.call = call
        self.tokens = tokens
        self.cached = job.cached
        self.wasted = job.wasted
        self.first_token_time = first_token_time
        self.engine = engine


class Attempt:
    """One call on its way through a router; `since` is when it came first."""

    __slots__ = ("call", "decision", "policy", "since")

    def __init__(self, call, decision, policy, since):
        self.call = call
        self.decision = decision
        self.policy = policy
        self.since = since


class Model:
    """Routers with a policy each, before engines that they share."""

    def __init__(self, profile, make, seed, routers=ROUTERS):
        self.clock = ModelClock()
        self.random = Random(seed)
        self.engines = [
            Engine(i, profile.cache_blocks, self.later, self.held_elsewhere)
            for i in range(profile.engines)
        ]
        self.engines_by_id = {engine.id: engine for engine in self.engines}
        self.live = list(self.engines)
        self.profile = profile
        self.make = make
        self.policies = [make(self, i) for i in range(routers)]
        self.results = []
        self.refused = []
        self._agenda = []
        self._sequence = count()
        self._digests_by_path = {}

    def later(self, delay, function, *arguments):
        """Call `function(now, *arguments)` after `delay` ms."""
        at = self.clock.time + delay
        heappush(self._agenda, (at, next(self._sequence), function, arguments))

    def run(self, calls, fault=None):
        """Run all calls and return a Result for each."""
        for call in calls:
            self.later(call.at, self._arrive, call)
        for engine in self.engines:
            self.later(self.random.uniform(0, REPORT_PERIOD), self._report, engine)
        for i in range(len(self.policies)):
            self.later(self.random.uniform(0, EXCHANGE_PERIOD_MS), self._exchange, i)
        if fault:
            self.later(FAULT_AT, fault, self)
        while len(self.results) + len(self.refused) < len(calls):
            self.clock.time, _, function, arguments = heappop(self._agenda)
            function(self.clock.time, *arguments)
        return self.results

    def held_elsewhere(self, engine, request, cached):
        """Return the tokens after `cached` that another engine has."""
        others = [other.cached(request) for other in self.live if other is not engine]
        return max(0, max(others, default=0) - cached)

    def request_of(self, call):
        """Return the RouteRequest of `call`; only the last block is its own."""
        blocks, shared_prefix_blocks = [], []
        for depth, level in enumerate(self.profile.levels[: len(call.path)]):
            path = call.path[: depth + 1]
            blocks.extend(f"{path}/{i}" for i in range(level.blocks))
            shared_prefix_blocks.append(len(blocks) - 1)
        cumulative_tokens = [BLOCK * (i + 1) for i in range(len(blocks))]
        tokens = cumulative_tokens[-1] + call.question
        chain = self._shared_chain(call.workspace, call.path, blocks)
        own = f"{call.at}/{call.workspace}".encode()
        scope = Scope(str(call.workspace), "model", "1")
        return RouteRequest(
            scope,
            [*chain, own],
            [*cumulative_tokens, tokens],
            shared_prefix_blocks,
            tokens,
        )

    def _shared_chain(self, workspace, path, blocks):
        key = workspace, path
        if key not in self._digests_by_path:
            scope = Scope(str(workspace), "model", "1")
            self._digests_by_path[key] = prefix_chain(scope, blocks)
        return self._digests_by_path[key]

    def _arrive(self, now, call, since=None):
        number = self.random.randrange(len(self.policies))
        policy = self.policies[number]
        request = self.request_of(call)
        decision = policy.choose(request, self.live, int(now))
        attempt = Attempt(call, decision, policy, now if since is None else since)
        try:
            deadline = int(attempt.since) + DEADLINE
            refuse_if_late(decision, int(now), deadline)
        except ApiError:
            self.refused.append(call)
        else:
            self._send(attempt)

    def _send(self, attempt):
        decision, policy = attempt.decision, attempt.policy
        engine = self.engines_by_id[decision.ranked_engine_ids[0]]
        sent_at = self.clock.time
        policy.record_sent(decision, engine.id)

        def first(at, job):
            policy.record_first_token(
                decision, engine.id, job.cached, int(at - sent_at)
            )
            tokens, duration = decision.request.tokens, at - attempt.since
            self.results.append(Result(attempt.call, tokens, job, duration, engine))

        def end(at, job):
            policy.record_ended(decision, engine.id)

        def lost(at):
            policy.record_ended(decision, engine.id)
            self.later(RETRY_DELAY, self._arrive, attempt.call, attempt.since)

        priority = decision.priority
        job = Job(decision.request, attempt.call, first, end, lost, priority)
        engine.send(job, self.clock.time)

    def _exchange(self, now, number):
        """Exchange updates of one router with the peers that it calls."""
        policy, name = self.policies[number], router_name(number)
        policies_by_name = {router_name(i): p for i, p in enumerate(self.policies)}
        for peer in peers_to_call(name, policies_by_name):
            other = policies_by_name[peer]
            self.later(
                EXCHANGE_DELAY, self._apply_update, other, name, policy.update_for(peer)
            )
            self.later(
                EXCHANGE_DELAY, self._apply_update, policy, peer, other.update_for(name)
            )
        self.later(EXCHANGE_PERIOD_MS, self._exchange, number)

    def _apply_update(self, now, policy, peer, update):
        policy.apply_update(peer, update)

    def _report(self, now, engine):
        report, incarnation = engine.report(), engine.incarnation
        for policy in self.policies:
            lag = self.random.uniform(*REPORT_LAG)
            self.later(lag, self._reported, policy, engine, report, incarnation, now)
        self.later(REPORT_PERIOD, self._report, engine)

    def _reported(self, now, policy, engine, report, incarnation, at):
        if incarnation == engine.incarnation and engine in self.live:
            policy.record_report(engine.id, report, int(now - at))


def router_name(number):
    """Return the name of a router."""
    return f"router-{number}"


def crash_fault(now, model):
    """Crash one engine, which comes back empty at once."""
    engine = model.engines[0]
    for job in engine.crash(now):
        job.lost(now)
    for policy in model.policies:
        policy.discard_engine_state(engine.id)


def restart_fault(now, model):
    """Restart half of the routers."""
    for i in range(0, len(model.policies), 2):
        model.policies[i] = model.make(model, i)


def cut_fault(now, model):
    """Cut off a third of the engines for CUT_TIME; their caches stay."""
    cut = model.engines[::3]
    model.live = [engine for engine in model.engines if engine not in cut]
    for engine in cut:
        blocks = engine.blocks.copy()
        for job in engine.crash(now):
            job.lost(now)
        engine.blocks.update(blocks)
    model.later(CUT_TIME, _restore, model)


def _restore(now, model):
    model.live = list(model.engines)


FAULTS_BY_NAME = {"crash": crash_fault, "restart": restart_fault, "cut": cut_fault}
