import heapq
from random import Random
from types import SimpleNamespace

from mulberryhub.releases.decision import Progress, ReleaseBounds, State, decide
from mulberryhub.releases.exposure import observed_upstreams
from mulberryhub.releases.outcomes import OutcomeRecorder, Outcomes, Result

ROUTES = {"chat": (6, 0.01, 90), "search": (3, 0.14, 60), "batch": (1, 0.02, 200)}
STEP_MS = 250
APPLY_LAG_MS = 300  # from a decision until routers apply it


class SimulatedRelease:
    """A service with two versions; `fault(request) -> (failure rate, factor)`."""

    def __init__(self, seed, fault, rate=200, duration=12_000, upstreams=3, **options):
        self.random = Random(seed)
        self.fault = fault
        self.rate = rate
        self.upstreams = upstreams
        self.ready = options.get("ready", upstreams)
        self.crashes = options.get("crashes", {})  # age by (version, number)
        self.speeds = options.get("speeds", (1,))
        self.spread = options.get("spread", 0.6)
        self.stream = options.get("stream", 3)  # in longest pauses
        self.lag = options.get("lag", 700)
        self.bounds = options.get("bounds", ReleaseBounds())
        self.order = SimpleNamespace(target="v2", duration=duration)
        self.recorder = OutcomeRecorder()
        self.recorder.reset("llm")
        self.events = []
        self.in_flight = {}
        self.exposed = self.received = self.late = 0
        self.overrun = float("-inf")
        self.bad_ends = []
        self.ended_at = None
        self.decisions = []

    def run(self):
        progress = Progress()
        progress.old_upstreams, progress.target_upstreams = self.upstreams, self.ready
        for age in range(0, self.order.duration + 2_000, STEP_MS):
            self.show_outcomes(age)
            counts = self.recorder.counts()
            outcomes = Outcomes.from_counts(counts, "llm", "v2")
            decision = decide(self.order, age, self.bounds, outcomes, progress)
            self.decisions.append((age + APPLY_LAG_MS, decision))
            if decision.state != State.RUNNING:
                self.ended_at = age
                self.send(age, age + APPLY_LAG_MS)
                break
            self.send(age, age + STEP_MS)
        self.state, self.reason = decision.state, decision.reason
        return self

    def show_outcomes(self, age):
        while self.events and self.events[0][0] <= age:
            _, _, method, args = heapq.heappop(self.events)
            getattr(self.recorder, method)("llm", *args)

    def send(self, at, end):
        while (at := at + self.random.expovariate(self.rate / 1000)) < end:
            applied = [d for since, d in self.decisions[-8:] if since <= at]
            share = applied[-1].share if applied else 0
            version = "v2" if self.random.random() < share and self.ready else "v1"
            ids = range(self.upstreams)
            if version == "v2":
                ids = observed_upstreams(
                    range(self.ready), applied[-1].upstreams, applied[-1].turn
                )
                bad_ends = sorted(self.bad_ends)
                limit = self.bounds.rollback_time
                if len(bad_ends) >= 50 and at > bad_ends[49] + limit:
                    self.late += 1
            up = [i for i in ids if not self.is_down(version, i, at)]
            self.answer(at, version, (version, self.random.choice(up or list(ids))))

    def is_down(self, version, number, at):
        crash = self.crashes.get((version, number))
        return crash is not None and crash + 300 < at < crash + 2_500

    def answer(self, at, version, upstream):
        random = self.random
        self.received += 1
        self.exposed += version == "v2"
        allowed = self.bounds.expose_share * self.received + self.bounds.expose_slack
        self.overrun = max(self.overrun, self.exposed - allowed)
        weights = [weight for weight, _, _ in ROUTES.values()]
        route = random.choices(list(ROUTES), weights)[0]
        _, failure_rate, usual = ROUTES[route]
        ends = [end for end in self.in_flight.get(upstream, []) if end > at]
        request = SimpleNamespace(
            part=at / self.order.duration, version=version, route=route, load=len(ends)
        )
        bad_rate, factor = self.fault(request)
        is_bad = random.random() < bad_rate
        slow = factor if is_bad else 1
        speed = self.speeds[upstream[1] % len(self.speeds)]
        times = [
            usual * slow / speed * random.lognormvariate(0, self.spread)
            * (5 if random.random() < 0.01 else 1)
            for _ in range(2)
        ]  # fmt: skip
        crash = self.crashes.get(upstream, float("inf"))
        failed = (is_bad and factor == 1) or random.random() < failure_rate
        if failed:
            times = [20, None]  # an error comes at once, a stream takes a while
        end = at + times[0] + (times[1] or 0) * self.stream
        self.in_flight[upstream] = [*ends, end]
        if is_bad:
            self.bad_ends.append(end)
        self.show("record_sent", at, route, version)
        if at < crash < end or crash <= at < crash + 300:
            self.show("record", max(at, crash), route, version, Result.LOST)
            return
        result = Result.FAILED if failed else Result.SERVED
        self.show("record_first_byte", at + times[0], route, version, times[0])
        self.show("record", end, route, version, result, times[1])

    def show(self, method, at, *args):
        heapq.heappush(self.events, (at + self.lag, self.random.random(), method, args))
