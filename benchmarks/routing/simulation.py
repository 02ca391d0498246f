"""Simulates routers with real policy objects in front of modelled engines.

The simulation is driven by events in simulated time, in ms.
"""

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

ROUTER_COUNT = 6
REPORT_PERIOD_MS = 1_000
REPORT_DELAY_RANGE_MS = (1_000, 3_000)
EXCHANGE_DELAY_MS = 1
REQUEST_TIMEOUT_MS = 30_000
RETRY_DELAY_MS = 200
FAULT_START_MS = 30_000
CUT_DURATION_MS = 10_000


class SimulatedClock:
    """The simulated time, as the clock of the policies."""

    def __init__(self):
        self.time = 0.0

    def now(self):
        """Return the simulated time in ms."""
        return int(self.time)


class CallResult:
    """The first token of one call: when it arrived and what the prefill computed.

    `wasted` is the tokens computed although another engine had them in its cache.
    """

    __slots__ = ("call", "tokens", "cached", "wasted", "first_token_time", "engine")

    def __init__(self, call, tokens, job, first_token_time, engine):
        self.call = call
        self.tokens = tokens
        self.cached = job.cached
        self.wasted = job.wasted
        self.first_token_time = first_token_time
        self.engine = engine


class Attempt:
    """One attempt to serve a call; `first_arrival` is the time of the first attempt."""

    __slots__ = ("call", "decision", "policy", "first_arrival")

    def __init__(self, call, decision, policy, first_arrival):
        self.call = call
        self.decision = decision
        self.policy = policy
        self.first_arrival = first_arrival


class Simulation:
    """Routers, each with a policy of its own, that share a set of engines.

    `make_policy(simulation, router_index)` returns the policy of a router.
    """

    def __init__(self, profile, make_policy, seed, router_count=ROUTER_COUNT):
        self.clock = SimulatedClock()
        self.random = Random(seed)
        self.engines = [
            Engine(i, profile.cache_blocks, self.schedule, self.tokens_cached_elsewhere)
            for i in range(profile.engines)
        ]
        self.engines_by_id = {engine.id: engine for engine in self.engines}
        self.reachable_engines = list(self.engines)
        self.profile = profile
        self.make_policy = make_policy
        self.policies = [make_policy(self, i) for i in range(router_count)]
        self.results = []
        self.refused_calls = []
        self._events = []
        self._sequence = count()
        self._digests_by_path = {}

    def schedule(self, delay, function, *arguments):
        """Schedule the call `function(now, *arguments)` in `delay` ms."""
        at = self.clock.time + delay
        heappush(self._events, (at, next(self._sequence), function, arguments))

    def run(self, calls, fault=None):
        """Run until each call is answered or refused; return the CallResults.

        `fault(now, simulation)` is called at FAULT_START_MS.
        """
        for call in calls:
            self.schedule(call.at, self._handle_arrival, call)
        for engine in self.engines:
            self.schedule(
                self.random.uniform(0, REPORT_PERIOD_MS), self._send_report, engine
            )
        for i in range(len(self.policies)):
            self.schedule(self.random.uniform(0, EXCHANGE_PERIOD_MS), self._exchange, i)
        if fault:
            self.schedule(FAULT_START_MS, fault, self)
        while len(self.results) + len(self.refused_calls) < len(calls):
            self.clock.time, _, function, arguments = heappop(self._events)
            function(self.clock.time, *arguments)
        return self.results

    def tokens_cached_elsewhere(self, engine, request, cached):
        """Return the tokens beyond `cached` that the best other engine has cached."""
        others = [
            other.cached_tokens(request)
            for other in self.reachable_engines
            if other is not engine
        ]
        return max(0, max(others, default=0) - cached)

    def build_request(self, call):
        """Return the RouteRequest of `call`; only the last block is unique to it."""
        blocks, shared_prefix_blocks = [], []
        for depth, level in enumerate(self.profile.levels[: len(call.path)]):
            path = call.path[: depth + 1]
            blocks.extend(f"{path}/{i}" for i in range(level.blocks))
            shared_prefix_blocks.append(len(blocks) - 1)
        cumulative_tokens = [BLOCK * (i + 1) for i in range(len(blocks))]
        tokens = cumulative_tokens[-1] + call.question
        chain = self._shared_chain(call.workspace, call.path, blocks)
        own_digest = f"{call.at}/{call.workspace}".encode()
        scope = Scope(str(call.workspace), "model", "1")
        return RouteRequest(
            scope,
            [*chain, own_digest],
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

    def _handle_arrival(self, now, call, first_arrival=None):
        router_index = self.random.randrange(len(self.policies))
        policy = self.policies[router_index]
        request = self.build_request(call)
        decision = policy.choose(request, self.reachable_engines, int(now))
        attempt = Attempt(
            call, decision, policy, now if first_arrival is None else first_arrival
        )
        try:
            deadline = int(attempt.first_arrival) + REQUEST_TIMEOUT_MS
            refuse_if_late(decision, int(now), deadline)
        except ApiError:
            self.refused_calls.append(call)
        else:
            self._send(attempt)

    def _send(self, attempt):
        decision, policy = attempt.decision, attempt.policy
        engine = self.engines_by_id[decision.ranked_engine_ids[0]]
        sent_at = self.clock.time
        policy.record_sent(decision, engine.id)

        def on_first_token(at, job):
            policy.record_first_token(
                decision, engine.id, job.cached, int(at - sent_at)
            )
            tokens, duration = decision.request.tokens, at - attempt.first_arrival
            self.results.append(CallResult(attempt.call, tokens, job, duration, engine))

        def on_end(at, job):
            policy.record_ended(decision, engine.id)

        def on_crash(at):
            policy.record_ended(decision, engine.id)
            self.schedule(
                RETRY_DELAY_MS,
                self._handle_arrival,
                attempt.call,
                attempt.first_arrival,
            )

        priority = decision.priority
        job = Job(
            decision.request, attempt.call, on_first_token, on_end, on_crash, priority
        )
        engine.submit(job, self.clock.time)

    def _exchange(self, now, router_index):
        """Exchange updates between one router and the peers that it calls."""
        policy, name = self.policies[router_index], router_name(router_index)
        policies_by_name = {router_name(i): p for i, p in enumerate(self.policies)}
        for peer in peers_to_call(name, policies_by_name):
            other = policies_by_name[peer]
            self.schedule(
                EXCHANGE_DELAY_MS,
                self._apply_update,
                other,
                name,
                policy.update_for(peer),
            )
            self.schedule(
                EXCHANGE_DELAY_MS,
                self._apply_update,
                policy,
                peer,
                other.update_for(name),
            )
        self.schedule(EXCHANGE_PERIOD_MS, self._exchange, router_index)

    def _apply_update(self, now, policy, peer, update):
        policy.apply_update(peer, update)

    def _send_report(self, now, engine):
        report, incarnation = engine.report(), engine.incarnation
        for policy in self.policies:
            delay = self.random.uniform(*REPORT_DELAY_RANGE_MS)
            self.schedule(
                delay, self._deliver_report, policy, engine, report, incarnation, now
            )
        self.schedule(REPORT_PERIOD_MS, self._send_report, engine)

    def _deliver_report(self, now, policy, engine, report, incarnation, at):
        if incarnation == engine.incarnation and engine in self.reachable_engines:
            policy.record_report(engine.id, report, int(now - at))


def router_name(router_index):
    """Return the name of the router with this index."""
    return f"router-{router_index}"


def crash_fault(now, simulation):
    """Crash one engine; it restarts at once with an empty cache."""
    engine = simulation.engines[0]
    for job in engine.crash(now):
        job.on_lost(now)
    for policy in simulation.policies:
        policy.discard_engine_state(engine.id)


def restart_fault(now, simulation):
    """Restart every second router, which loses the state of its policy."""
    for i in range(0, len(simulation.policies), 2):
        simulation.policies[i] = simulation.make_policy(simulation, i)


def cut_fault(now, simulation):
    """Disconnect a third of the engines for CUT_DURATION_MS; they keep their caches."""
    cut_engines = simulation.engines[::3]
    simulation.reachable_engines = [
        engine for engine in simulation.engines if engine not in cut_engines
    ]
    for engine in cut_engines:
        blocks = engine.blocks.copy()
        for job in engine.crash(now):
            job.on_lost(now)
        engine.blocks.update(blocks)
    simulation.schedule(CUT_DURATION_MS, _reconnect_engines, simulation)


def _reconnect_engines(now, simulation):
    simulation.reachable_engines = list(simulation.engines)


FAULTS_BY_NAME = {"crash": crash_fault, "restart": restart_fault, "cut": cut_fault}
