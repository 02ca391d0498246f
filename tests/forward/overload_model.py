"""Upstreams with slots and a queue, routers and clients, on a virtual clock.

An upstream runs SLOTS requests at once. A step of STEP_MS gives each of them a token;
between steps one piece of a prompt is processed, the prompts in turn. Its queue holds
QUEUE_SLOTS times as many; the most urgent requests leave it first.
"""

from collections import Counter
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import choice, expovariate, uniform

from greenlet import getcurrent

from mulberryhub.fleet.records import Usage
from mulberryhub.forward.call import AnswerFacts
from mulberryhub.forward.job import Job
from mulberryhub.forward.refusal import Refusal
from mulberryhub.http.messages import (
    ConnectionFailed,
    Headers,
    ResponseBroken,
    ResponseHead,
    ResponseTimeout,
)
from tests.forward.fakes import make_call, make_route, make_service, make_upstream
from tests.forward.router_fixture import make_attempt_runner
from tests.forward.virtual_time import VirtualTime

SLOTS, QUEUE_SLOTS = 12, 3
STEP_MS, PIECE_TOKENS = 5, 1_024
TOKENS_PER_MS = (75, 90, 105)  # of prompts, by upstream in turn
ROUTER_COUNT, UPSTREAM_COUNT = 9, 6
REPORT_PERIOD_MS = 250
DEADLINE_MS = 10_000
# Requests per s of one upstream at its capacity.
LONG_RATE, SHORT_RATE = 3.0, 8.0
LONG = make_route(
    name="long", target_latency=1_235, priority=2, is_resumable=True, max_attempts=2,
    timeout=DEADLINE_MS,
)  # fmt: skip
SHORT = make_route(name="short", target_latency=265, timeout=DEADLINE_MS)


class Run:
    """A request at an upstream; `state` is the last that its router is told."""

    def __init__(self, call, attempt):
        self.priority = attempt.priority
        self.prompt_left = call.prompt_tokens
        self.tokens_left = call.output_tokens
        self.state = None
        self.wake = None

    def set_state(self, state):
        self.state = state
        if self.wake is not None:
            self.wake()


class Engine:
    def __init__(self, time, tokens_per_ms):
        self.time = time
        self.tokens_per_ms = tokens_per_ms
        self.is_gone = self.is_stepping = False
        self.running, self.queue = [], []
        self.sequence = count()

    def submit(self, run):
        if len(self.running) + len(self.queue) >= SLOTS * (1 + QUEUE_SLOTS):
            run.set_state("full")
            return
        heappush(self.queue, (run.priority, next(self.sequence), run))
        self.admit()

    def admit(self):
        while self.queue and len(self.running) < SLOTS:
            self.running.append(heappop(self.queue)[2])
        if self.running and not self.is_stepping:
            self.is_stepping = True
            self.step()

    def step(self):
        prompts = [run for run in self.running if run.prompt_left]
        duration = STEP_MS
        if prompts:
            piece = min(PIECE_TOKENS, prompts[0].prompt_left)
            prompts[0].prompt_left -= piece
            duration += piece / self.tokens_per_ms
            self.running.remove(prompts[0])
            self.running.append(prompts[0])
        self.time.after(duration, self.end_step)

    def end_step(self):
        self.is_stepping = False
        for run in [run for run in self.running if not run.prompt_left]:
            run.tokens_left -= 1
            if run.tokens_left <= 0:
                self.running.remove(run)
                run.set_state("ended")
            elif run.state is None:
                run.set_state("answering")
        self.admit()

    def cancel(self, run):
        if run in self.running:
            self.running.remove(run)
        self.queue = sorted(item for item in self.queue if item[2] is not run)

    def crash(self):
        runs = [*self.running, *(item[2] for item in self.queue)]
        self.running, self.queue, self.is_gone = [], [], True
        for run in runs:
            run.set_state("broken")


class Connection:
    def __init__(self, engine, time):
        self.engine, self.time, self.opened_at = engine, time, time.clock.now()
        self.run = None

    def send(self, request, timeout):
        self.run = Run(*request)
        self.engine.submit(self.run)

    def wait(self, timeout, is_done):
        """Wait until `is_done(state)`; raise ResponseBroken or ResponseTimeout."""
        deadline = self.time.clock.now() + timeout
        current = getcurrent()
        while not is_done(self.run.state):
            if self.run.state == "broken":
                raise ResponseBroken("upstream is gone")
            if self.time.clock.now() >= deadline:
                raise ResponseTimeout("silent")
            waits = [True]

            def wake(waits=waits):
                if waits and waits.pop():
                    self.time.after(0, current.switch)

            self.run.wake = wake
            self.time.after(deadline - self.time.clock.now(), wake)
            current.parent.switch()

    def read_head(self, timeout):
        self.wait(timeout, lambda state: state in ("full", "answering", "ended"))
        status = 503 if self.run.state == "full" else 200
        return ResponseHead(status, Headers.from_pairs([(b"Content-Length", b"0")]))

    def close(self):
        if self.run is not None:
            self.engine.cancel(self.run)


class Pool:
    def __init__(self, engines_by_address, time):
        self.engines_by_address, self.time = engines_by_address, time

    def take_idle(self, address, max_idle=None):
        return None

    def open(self, address, timeout):
        engine = self.engines_by_address[address]
        if engine.is_gone:
            raise ConnectionFailed("gone")
        return Connection(engine, self.time)

    def release(self, connection):
        pass

    close_idle = release


def read_answer(head, attempt):
    return AnswerFacts(None, head.status == 503, None, True, None)


class OverloadedFleet:
    """Counts, by second and route name, the requests offered and those in time."""

    def __init__(self, long_rate=LONG_RATE, short_rate=SHORT_RATE):
        self.rates = ((LONG, long_rate), (SHORT, short_rate))
        self.time = VirtualTime()
        self.service = make_service(slots=SLOTS, kv_capacity=0)
        self.upstreams = [
            make_upstream(f"u{n}", n + 1, slots=SLOTS) for n in range(UPSTREAM_COUNT)
        ]
        self.engines = [
            Engine(self.time, TOKENS_PER_MS[n % len(TOKENS_PER_MS)])
            for n in range(UPSTREAM_COUNT)
        ]
        addresses = [upstream.address for upstream in self.upstreams]
        pool = Pool(dict(zip(addresses, self.engines)), self.time)
        self.others = {n: None for n in range(ROUTER_COUNT)}
        self.routers = [
            make_attempt_runner(
                self.upstreams, pool, read_answer, partial(self.others.get, n),
                self.time.clock,
            )
            for n in range(ROUTER_COUNT)
        ]  # fmt: skip
        self.blind = {n for n in range(ROUTER_COUNT) if n % 3 == 2}
        self.load = 0
        self.offered, self.in_time = Counter(), Counter()
        self.started_at = self.time.clock.now()
        self.exchange_reports()

    def run(self, load, duration):
        """Offer `load` times the capacity for `duration` ms."""
        self.load = load
        end = self.time.clock.now() + duration
        for route, rate in self.rates:
            interval = 1_000 / (rate * load * UPSTREAM_COUNT)
            self.time.after(
                expovariate(1 / interval), self.arrive, route, interval, end
            )
        self.time.run(duration)

    def run_without(self, engines, load, duration):
        """Offer load while `engines` are gone."""
        for engine in engines:
            engine.crash()
        self.run(load, duration)
        for engine in engines:
            engine.is_gone = False

    def arrive(self, route, interval, end):
        if self.time.clock.now() >= end:
            return
        self.time.after(expovariate(1 / interval), self.arrive, route, interval, end)
        self.time.spawn(self.send, route)

    def send(self, route):
        """Send a request, once more where it is refused and time is left."""
        deadline = self.time.clock.now() + DEADLINE_MS
        self.offered[self.second(), route.name] += 1
        router = choice(self.routers)
        retry_after = self.attempt(route, router, deadline)
        if retry_after and retry_after <= (deadline - self.time.clock.now()) / 3:
            self.time.sleep(retry_after / 1_000)
            others = [other for other in self.routers if other is not router]
            self.attempt(route, choice(others), deadline)

    def attempt(self, route, router, deadline):
        """Return the Retry-After in ms of a refused request, else None."""
        now = self.time.clock.now()
        tokens = round(uniform(9_000, 22_500)) if route is LONG else 200
        call = make_call((("own", tokens),), arrived_at=now)
        call.output_tokens = 60 if route is LONG else 54
        job = Job(call, route, self.service, None, deadline)
        try:
            exchange = router.run(job)
        except Refusal as refusal:
            return refusal.retry_after
        wait = self.time.clock.now() - now
        self.in_time[self.second(), route.name] += wait <= route.target_latency
        job.is_answer_started, job.status = True, exchange.head.status
        exchange.attempt.answered_at = self.time.clock.now()
        try:
            exchange._connection.wait(DEADLINE_MS, lambda state: state == "ended")
            exchange.finish()
            router.record_completed(job, exchange)
        except ResponseBroken:
            exchange.cancel()
        return None

    def second(self):
        return (self.time.clock.now() - self.started_at) // 1_000

    def goodput(self, begin, end):
        """Return the responses in time per s in the seconds from `begin` to `end`."""
        return self.rate(self.in_time, begin, end)

    def offered_rate(self, begin, end, names=("long", "short")):
        """Return the requests per s that clients sent first in these seconds."""
        return self.rate(self.offered, begin, end, names)

    @staticmethod
    def rate(counts, begin, end, names=("long", "short")):
        return sum(counts[s, n] for s in range(begin, end) for n in names) / (
            end - begin
        )

    def exchange_reports(self):
        own = [
            Usage(
                work_by_upstream=loads.local_work_by_upstream(),
                requests_by_upstream=loads.local_requests_by_upstream(),
                urgent_by_upstream=loads.local_urgent_by_upstream(),
            )
            for loads in (router.loads for router in self.routers)
        ]
        total = Usage(routers=0)
        for usage in own:
            total.add(usage)
        for n in set(self.others) - self.blind:
            self.others[n] = total.minus(own[n])
        self.time.after(REPORT_PERIOD_MS, self.exchange_reports)
