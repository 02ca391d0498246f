"""Requests that crash workers, with many routers whose reports arrive with a delay.

Guards against bad requests that crash further workers after they should have been
recognized, and against refusing sound requests because workers crash near them. Runs
on virtual time.
"""

from random import Random

import pytest
from loguru import logger

from mulberryhub.base.counters import Counters
from mulberryhub.fleet.records import (
    Member,
    Removal,
    RequestKind,
    UpstreamState,
    Workspace,
)
from mulberryhub.fleet.state import FleetState
from mulberryhub.forward import quarantine
from mulberryhub.forward.call import Attempt
from mulberryhub.forward.job import Job
from mulberryhub.forward.quarantine import Quarantine
from mulberryhub.forward.refusal import Refusal
from tests.forward.fakes import make_call, make_route, make_service, make_upstream
from tests.forward.virtual_time import VirtualTime

DETECTION_TIME_MS = 3_000  # after the third crash; later crashes count as late
MAX_LATE_CRASHES = 3
REPORT_DELAY_MS = 10  # in which observations are collected
DELIVERY_MS = (5, 170)  # from a router to the first one, and from that to the others
CRASH_DELAY_MS = 1  # until a bad request crashes its worker
RESTART_MS = 2_000  # until a crashed worker is replaced
REMOVAL_MS = 4_500  # until the store reports that a worker is gone
BAD, SOUND = b"bad", b"sound"
PEERS = "peers"  # the source of all records that a router receives
OWNER = Workspace("w", ["k"])


class Worker:
    def __init__(self, upstream):
        self.upstream = upstream
        self.is_alive = True
        self.end_callbacks = []  # called when it crashes


class Router:
    def __init__(self, name, simulation):
        self.name = name
        self.simulation = simulation
        self.is_isolated = False
        self.fleet_state = FleetState(simulation.time.clock)
        self.quarantine = Quarantine(
            name,
            self.fleet_state,
            simulation.is_refused,
            simulation.saved.append,
            simulation.time.clock,
            Counters(),
        )
        self.fleet_state.on_change(self.schedule_report)
        self.reported_revision = 0
        self.is_report_due = False

    def schedule_report(self):
        if not self.is_report_due:
            self.is_report_due = True
            self.simulation.time.after(REPORT_DELAY_MS, self.report)

    def report(self):
        """Send what this router observed to the first router.

        The first router sends what it learned to all others.
        """
        self.is_report_due = False
        is_first = self is self.simulation.routers[0]
        excluded_source = None if is_first else PEERS
        records = self.fleet_state.observations_since(
            self.reported_revision, excluded_source
        )
        self.reported_revision = self.fleet_state.revision
        if not self.is_isolated:
            others = self.simulation.routers
            self.simulation.deliver(records, others[1:] if is_first else others[:1])


class Simulation:
    def __init__(self, time, routers, workers, seed=1, max_attempts=2):
        self.time = time
        self.random = Random(seed)
        self.max_attempts = max_attempts
        self.crash_times = []  # ms at which bad requests crashed workers
        self.refused = []  # bodies of quarantined requests
        self.served = 0
        self.saved = []
        self.workers_by_address = {}
        self.offset = 0
        self.routers = []
        for number in range(routers):
            self.add_router(f"n{number}")
        for _ in range(workers):
            self.start_worker()

    def add_router(self, name):
        """Start a router that receives all records of the others."""
        router = Router(name, self)
        self.routers.append(router)
        members = [Member(other.name, "", other.name) for other in self.routers]
        for other in self.routers:
            for member in members if other is router else members[-1:]:
                other.fleet_state.apply(member)
        for worker in self.workers_by_address.values():
            router.fleet_state.apply(worker.upstream)
        for record in self.routers[0].fleet_state.observations_since(0):
            router.fleet_state.apply(record, PEERS)
        return router

    def deliver(self, records, routers):
        for router in routers:
            self.time.after(
                self.random.uniform(*DELIVERY_MS), self._learn, router, records
            )

    @staticmethod
    def _learn(router, records):
        for record in records:
            if not router.is_isolated:
                router.fleet_state.apply(record, PEERS)

    def start_worker(self):
        self.offset += 1
        upstream = make_upstream(f"u{self.offset}", self.offset, started=self.offset)
        self.workers_by_address[upstream.address] = Worker(upstream)
        for router in self.routers:
            router.fleet_state.apply(upstream)

    def crash_worker(self, worker):
        if not worker.is_alive:
            return
        worker.is_alive = False
        for callback in worker.end_callbacks:
            callback()
        self.time.after(RESTART_MS, self.start_worker)
        self.time.after(REMOVAL_MS, self._remove_worker, worker)

    def _remove_worker(self, worker):
        self.offset += 1
        for router in self.routers:
            router.fleet_state.apply(Removal(worker.upstream.id, self.offset))

    def is_refused(self, address, timeout):
        self.time.sleep(0.001)
        return not self.workers_by_address[address].is_alive

    def send(self, router, body, work=20, owner=OWNER, crashes_workers=None):
        """Send a client's request to a router."""
        if crashes_workers is None:
            crashes_workers = body == BAD
        self.time.spawn(self._serve, router, body, work, owner, crashes_workers)

    def _serve(self, router, body, work, owner, crashes_workers):
        call = make_call(body=body)
        route = make_route(RequestKind.IDEMPOTENT, max_attempts=self.max_attempts)
        end = self.time.clock.now() + 4_000
        job = Job(call, route, make_service(), owner, end)
        while job.may_run_again:
            try:
                router.quarantine.check(job)
            except Refusal:
                self.refused.append(body)
                return
            worker = self._choose(router, job)
            if worker is None:
                return
            job.runs += 1
            job.tried_ids.add(worker.upstream.id)
            if self._run(router, job, worker, work, crashes_workers):
                self.served += 1
                router.quarantine.record_served(job)
                return

    def _choose(self, router, job):
        workers = [
            worker
            for worker in self.workers_by_address.values()
            if worker.is_alive and worker.upstream.id not in job.tried_ids
        ]
        return self.random.choice(workers) if workers else None

    def _run(self, router, job, worker, work, crashes_workers):
        attempt = Attempt(worker.upstream, job.workspace, 0)
        router.quarantine.record_sent(job, attempt)
        cuts = []
        worker.end_callbacks.append(lambda: cuts.append(True))
        if crashes_workers:
            self.time.sleep(CRASH_DELAY_MS / 1000)
            if worker.is_alive:
                self.crash_times.append(self.time.clock.now())
                self.crash_worker(worker)
        else:
            self.time.sleep(work / 1000)
        if cuts:
            router.quarantine.record_cut_answer(job, attempt)
        return not cuts

    def late_crashes(self):
        return [
            at
            for at in self.crash_times
            if at > self.crash_times[2] + DETECTION_TIME_MS
        ]


@pytest.fixture(autouse=True)
def no_logs():
    logger.remove()


@pytest.fixture
def time(monkeypatch):
    virtual = VirtualTime()
    monkeypatch.setattr(quarantine, "sleep", virtual.sleep)
    monkeypatch.setattr(quarantine, "spawn_task", virtual.spawn)
    return virtual


@pytest.mark.parametrize("routers, workers", [(6, 5), (9, 9), (90, 45), (200, 39)])
@pytest.mark.parametrize("max_attempts", [1, 2, 4])
@pytest.mark.parametrize("interval", [200, 1_500, 5_000])
def test_bad_request_sent_to_all_routers_at_once_is_refused(
    time, routers, workers, max_attempts, interval
):
    for seed in range(3):
        simulation = Simulation(time, routers, workers, seed, max_attempts)
        for _ in range(max(6, 12_000 // interval)):
            for router in simulation.routers:
                delay = simulation.random.uniform(0, 100)
                time.after(delay, simulation.send, router, BAD)
            time.run(interval)
        assert len(simulation.late_crashes()) <= MAX_LATE_CRASHES
        assert simulation.refused


@pytest.mark.parametrize("routers, workers", [(6, 5), (200, 39)])
@pytest.mark.parametrize("interval", [100, 900, 4_000])
def test_bad_request_sent_to_one_router_after_another_is_refused(
    time, routers, workers, interval
):
    simulation = Simulation(time, routers, workers, max_attempts=1)
    for number in range(max(12, 16_000 // interval)):
        simulation.send(simulation.routers[number % routers], BAD)
        time.run(interval)
    assert len(simulation.late_crashes()) <= MAX_LATE_CRASHES


def test_records_reach_new_and_reconnected_routers(time):
    simulation = Simulation(time, 3, 5)
    simulation.routers[2].is_isolated = True
    for _ in range(3):
        simulation.send(simulation.routers[0], BAD)
        time.run(RESTART_MS + 500)
    crash_count = len(simulation.crash_times)
    simulation.routers[2].is_isolated = False
    known = simulation.routers[0].fleet_state.observations_since(0)
    simulation.deliver(known, simulation.routers[2:])
    time.run(500)
    for router in (simulation.add_router("new"), simulation.routers[2]):
        simulation.send(router, BAD)
        time.run(100)
    assert len(simulation.crash_times) == crash_count
    assert len(simulation.refused) >= 2


def test_verdict_and_its_end_are_saved(time):
    simulation = Simulation(time, 3, 6)
    for _ in range(2):
        simulation.send(simulation.routers[0], BAD)
        time.run(RESTART_MS + 500)
    assert simulation.saved[-1].is_quarantined
    router = simulation.routers[1]
    job = Job(make_call(body=BAD), make_route(), make_service(), OWNER, 10**9)
    router.quarantine.record_served(job)
    assert not simulation.saved[-1].is_quarantined
    assert simulation.saved[-1].round == 1


@pytest.mark.parametrize("seed", range(4))
def test_sound_requests_at_crashing_workers_are_not_refused(time, seed):
    simulation = Simulation(time, 9, 9, seed)
    for number in range(400):
        router = simulation.random.choice(simulation.routers)
        # Half of the requests are equal, like a popular page.
        body = SOUND if number % 2 else SOUND + b"%d" % number
        simulation.send(router, body, work=simulation.random.choice((20, 400)))
        if number % 20 == 0:
            alive = [w for w in simulation.workers_by_address.values() if w.is_alive]
            for worker in simulation.random.sample(alive, min(len(alive), 4)):
                simulation.crash_worker(worker)
        time.run(50)
    assert simulation.refused == []
    assert simulation.served > 200


def test_request_in_flight_at_all_workers_as_they_crash_is_not_refused(time):
    simulation = Simulation(time, 9, 9)
    for router in simulation.routers:
        simulation.send(router, SOUND, work=400)
    time.run(100)
    for worker in list(simulation.workers_by_address.values()):
        simulation.crash_worker(worker)
    time.run(RESTART_MS + 500)
    for router in simulation.routers:
        simulation.send(router, SOUND)
    time.run(3_000)
    assert simulation.refused == []
    assert simulation.served == 9


@pytest.mark.parametrize("seed", range(4))
def test_crashes_in_quick_succession_do_not_condemn_requests(time, seed):
    simulation = Simulation(time, 9, 9, seed)
    for _ in range(4):
        for router in simulation.routers:
            simulation.send(router, SOUND, work=200)
        time.run(60)
        for worker in list(simulation.workers_by_address.values()):
            simulation.crash_worker(worker)
            time.run(30)
        time.run(RESTART_MS + 1_000)
    for router in simulation.routers:
        simulation.send(router, SOUND)
    time.run(3_000)
    assert simulation.refused == []


def test_recently_served_request_is_not_refused_after_crashes(time):
    simulation = Simulation(time, 9, 4)
    simulation.send(simulation.routers[3], SOUND)
    time.run(50)
    for router in simulation.routers:
        simulation.send(router, SOUND, work=200)
    time.run(100)
    for worker in list(simulation.workers_by_address.values()):
        simulation.crash_worker(worker)
    time.run(RESTART_MS + 10)
    simulation.send(simulation.routers[0], SOUND, work=200)
    time.run(30)
    for worker in list(simulation.workers_by_address.values()):
        simulation.crash_worker(worker)
    time.run(RESTART_MS + 500)
    simulation.send(simulation.routers[1], SOUND)
    time.run(2_000)
    assert simulation.refused == []


def test_request_that_turns_bad_is_refused_in_time(time):
    simulation = Simulation(time, 9, 9)
    simulation.send(simulation.routers[0], SOUND)
    time.run(100)
    for number in range(60):
        simulation.send(simulation.routers[number % 9], SOUND, crashes_workers=True)
        time.run(200)
    assert len(simulation.late_crashes()) <= MAX_LATE_CRASHES


def test_same_request_of_another_workspace_is_not_refused(time):
    simulation = Simulation(time, 3, 6)
    for _ in range(3):
        simulation.send(simulation.routers[0], BAD)
        time.run(RESTART_MS)
    assert simulation.refused
    crash_count = len(simulation.crash_times)
    simulation.send(simulation.routers[0], BAD, owner=Workspace("other", ["o"]))
    time.run(100)
    assert len(simulation.crash_times) > crash_count


def cut_answer(simulation, router, worker, body=SOUND):
    """Cut the answer of a request that runs at a worker."""
    job = Job(make_call(body=body), make_route(), make_service(), OWNER, 10**9)
    attempt = Attempt(worker.upstream, OWNER, 0)
    router.quarantine.record_sent(job, attempt)
    router.quarantine.record_cut_answer(job, attempt)
    return job


def count_crashes(router, job):
    return len(router.fleet_state.suspects.get(job.fingerprint).crashed_runs)


def test_answer_cut_by_a_running_worker_is_no_evidence(time):
    simulation = Simulation(time, 1, 1)
    router, worker = (
        simulation.routers[0],
        next(iter(simulation.workers_by_address.values())),
    )
    job = cut_answer(simulation, router, worker)
    time.run(60_000)
    router.fleet_state.apply(Removal(worker.upstream.id, 10_000))
    assert count_crashes(router, job) == 0


def test_answers_cut_long_before_a_crash_are_no_evidence(time):
    simulation = Simulation(time, 1, 1)
    router, worker = (
        simulation.routers[0],
        next(iter(simulation.workers_by_address.values())),
    )
    earlier_job = cut_answer(simulation, router, worker, SOUND)
    for _ in range(3):
        time.run(5_000)
        job = cut_answer(simulation, router, worker, BAD)
    worker.is_alive = False
    time.run(100)
    cut_answer(simulation, router, worker, BAD)
    time.run(100)
    assert count_crashes(router, earlier_job) == 0
    assert count_crashes(router, job) == 1


@pytest.mark.parametrize("is_restarted", [True, False])
def test_store_reveals_a_crash_that_connecting_does_not(time, is_restarted):
    simulation = Simulation(time, 1, 1)
    router, worker = (
        simulation.routers[0],
        next(iter(simulation.workers_by_address.values())),
    )
    job = cut_answer(simulation, router, worker)
    time.run(1_000)
    assert count_crashes(router, job) == 0
    upstream = worker.upstream
    if is_restarted:
        restarted = make_upstream(upstream.id, 10_000, started=upstream.started + 1)
        router.fleet_state.apply(restarted)
    else:
        router.fleet_state.apply(Removal(upstream.id, 10_000))
    assert count_crashes(router, job) == 1


def test_planned_end_is_no_evidence(time):
    simulation = Simulation(time, 1, 1)
    router, worker = (
        simulation.routers[0],
        next(iter(simulation.workers_by_address.values())),
    )
    upstream = worker.upstream
    router.fleet_state.apply(
        make_upstream(
            upstream.id, 10_000, UpstreamState.DRAINING, started=upstream.started
        )
    )
    job = cut_answer(simulation, router, worker)
    worker.is_alive = False
    time.run(1_000)
    router.fleet_state.apply(Removal(upstream.id, 10_001))
    assert count_crashes(router, job) == 0
