"""Runs the soak: starts processes and clients, executes a plan, checks invariants."""

import signal
import tempfile
import time

from mulberryhub.base.green import sleep, spawn_n
from soak.clients import INCOMPLETE, WEIGHTED_ROUTES, Client, now_ms
from soak.fleet import PERMANENT_KEYS, UNLIMITED_WORKSPACE, SoakFleet
from soak.invariants import Observations, Violation, find_violations
from soak.links import LinkFault
from soak.options import Options
from soak.plan import StepKind, make_plan
from soak.releases import SoakRelease
from soak.timeline import Span, Timeline, WorkerLimit

STARTUP_S = 0.15  # A router that starts has no signal handlers for about this time.
RESTART_DELAY_S = 0.4  # between a router's exit and its next start
RECOVERY_TIMEOUT_S = 12.0  # for all routers and routes to serve again after the faults
MAX_STORE_AWAY_S = 1.0
REWRITE_DELAY_S = 0.3  # until the operator and the workers write again
LIMIT_DURATION_S = 8.0  # at least, as limits bind some seconds after the naming
STOP_TIMEOUT_S = 6.0  # for a router to exit after a signal
OK = 200


class StepRunner:
    """Executes the steps of a plan on a SoakFleet and records them in a Timeline."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.timeline = Timeline()
        self.violations = []
        self._restarting_routers = set()

    def execute(self, step):
        """Execute a step on its target and record its Span; block until it is over."""
        target = self._target(step)
        span = Span(step, getattr(target, "name", None) or step.kind, now_ms())
        self.timeline.spans.append(span)
        ACTIONS[step.kind](self, step, target)
        span.ended_at = now_ms()

    def check_routers(self):
        """Record a violation for each router that exited unexpectedly; restart it."""
        for router in self.fleet.routers:
            code = router.popen.poll()
            if code is not None and router.name not in self._restarting_routers:
                self.violations.append(
                    Violation("process up", router.name, f"exit code {code}")
                )
                router.start()

    def _target(self, step):
        if step.kind in (
            StepKind.WORKER_LINK_FAULT,
            StepKind.WORKER_FAULT,
            StepKind.WORKER_KILL,
        ):
            return self._select(self.fleet.workers, step)
        if step.kind in (
            StepKind.WORKER_PAUSE,
            StepKind.WORKER_DRAIN,
            StepKind.WORKER_LIMIT,
        ):
            return self._select(self.fleet.workers, step)
        return self._select(self.fleet.routers, step)

    @staticmethod
    def _select(items, step):
        return items[step.index % len(items)]

    def inject_store_fault(self, step, _):
        """Apply a fault of the store to all its clients."""
        self.fleet.store.set_faults(**{step.mode: True})
        sleep(step.duration)
        self.fleet.store.set_faults(**{step.mode: None})

    def inject_store_link_fault(self, step, router):
        """Apply a fault to the link between a router and the store."""
        link = self.fleet.store_links[self.fleet.routers.index(router)]
        self._inject_link_fault(link, step)

    def inject_worker_link_fault(self, step, worker):
        """Apply a fault to the link to a worker."""
        self._inject_link_fault(worker.link, step)

    @staticmethod
    def _inject_link_fault(link, step):
        link.set_fault(step.mode)
        sleep(step.duration)
        link.set_fault(LinkFault.NONE)

    def inject_worker_fault(self, step, worker):
        """Apply a fault of a worker to its next one to three requests."""
        request_count = 1 + step.index % 3
        if step.mode == "pause":
            worker.process.set_faults(
                shed=request_count, retry_after=f"{step.duration:.2f}"
            )
        else:
            worker.process.set_faults(**{step.mode: request_count})
        sleep(step.duration)
        if worker in self.fleet.workers:
            worker.process.set_faults(retry_after=None)

    def kill_worker(self, step, worker):
        """Kill a worker and start a replacement."""
        self.fleet.replace_worker(worker)
        sleep(step.duration)

    def pause_worker(self, step, worker):
        """Suspend a worker's process with SIGSTOP."""
        worker.process.send_signal(signal.SIGSTOP)
        sleep(step.duration)
        worker.process.send_signal(signal.SIGCONT)

    def drain_worker(self, step, worker):
        """Start a replacement for a worker, then drain the worker.

        A worker that is the only one of its service is left alone.
        """
        service = worker.service
        if sum(item.service == service for item in self.fleet.workers) < 2:
            return
        self.fleet.add_worker(f"{worker.id}d", service)
        if worker not in self.fleet.workers:
            return  # Another step killed it while the replacement started.
        self.fleet.drain_worker(worker)
        self.timeline.drained_at_by_worker[worker.id] = now_ms()
        sleep(step.duration)

    def limit_worker(self, step, worker):
        """Let a worker name a rate limit, unless it names one already."""
        limits = self.timeline.limits
        if any(item.worker == worker.id and not item.ended_at for item in limits):
            return
        limit = WorkerLimit(worker.id, step.mode, now_ms())
        limits.append(limit)
        worker.process.set_faults(limit=step.mode)
        sleep(LIMIT_DURATION_S + step.duration)
        if limit.ended_at is None:
            limit.ended_at = now_ms()
        if worker in self.fleet.workers:
            worker.process.set_faults(limit=None)

    def kill_router(self, step, router):
        """Kill a router with SIGKILL and restart it."""
        self._restart(router, signal.SIGKILL)

    def stop_router(self, step, router):
        """Stop a router gracefully with SIGTERM and restart it after its exit."""
        self._restart(router, signal.SIGTERM)

    def pause_router(self, step, router):
        """Suspend a router's process with SIGSTOP."""
        router.popen.send_signal(signal.SIGSTOP)
        sleep(step.duration)
        router.popen.send_signal(signal.SIGCONT)

    def reload_router(self, step, router):
        """Make a router reload its settings with SIGHUP, unless it is restarting.

        Before the router has installed its handler, the signal would end it.
        """
        if router.name not in self._restarting_routers:
            router.popen.send_signal(signal.SIGHUP)
        sleep(step.duration)

    def trim_store(self, step, _):
        """Trim all topics of the store, so that routers lose their read positions."""
        self.fleet.store.request("POST", "/forget")
        sleep(step.duration)

    def revert_store(self, step, _):
        """Let the store come back from an older copy, and write to it again."""
        away = min(step.duration, MAX_STORE_AWAY_S)
        self.fleet.store.request(
            "POST", "/revert", json={"age": step.mode, "away": away}
        )
        sleep(away + REWRITE_DELAY_S)
        self.fleet.write_again()

    def add_key(self, step, _):
        """Publish a configuration with an additional spare key."""
        self.fleet.spare_keys.append(f"key-spare-{step.start:.3f}")
        self.fleet.publish_configuration()
        sleep(step.duration)

    def withdraw_key(self, step, _):
        """Publish a configuration without the oldest spare key."""
        if self.fleet.spare_keys:
            key = self.fleet.spare_keys.pop(0)
            self.fleet.publish_configuration()
            self.timeline.withdrawn_at_by_key[key] = now_ms()
        sleep(step.duration)

    def publish_weights(self, step, _):
        """Publish a new version of the weights."""
        self.fleet.publish_weights_version()
        self.timeline.published_at_by_version[self.fleet.weights_version] = now_ms()
        sleep(step.duration)

    def _restart(self, router, signal_number):
        if router.name in self._restarting_routers:
            return
        self._restarting_routers.add(router.name)
        try:
            router.popen.send_signal(signal.SIGCONT)
            router.popen.send_signal(signal_number)
            self._wait_for_exit(router)
            sleep(RESTART_DELAY_S)
            router.start()
            sleep(STARTUP_S)
        finally:
            self._restarting_routers.discard(router.name)

    def _wait_for_exit(self, router):
        deadline = time.monotonic() + STOP_TIMEOUT_S
        while router.popen.poll() is None and time.monotonic() < deadline:
            sleep(0.02)
        if router.popen.poll() is None:
            self.violations.append(
                Violation("exit in time", router.name, "still running")
            )
            router.popen.kill()
            router.popen.wait()


ACTIONS = {
    StepKind.STORE_FAULT: StepRunner.inject_store_fault,
    StepKind.STORE_LINK_FAULT: StepRunner.inject_store_link_fault,
    StepKind.WORKER_LINK_FAULT: StepRunner.inject_worker_link_fault,
    StepKind.WORKER_FAULT: StepRunner.inject_worker_fault,
    StepKind.WORKER_KILL: StepRunner.kill_worker,
    StepKind.WORKER_PAUSE: StepRunner.pause_worker,
    StepKind.ROUTER_KILL: StepRunner.kill_router,
    StepKind.ROUTER_PAUSE: StepRunner.pause_router,
    StepKind.STORE_TRIM: StepRunner.trim_store,
    StepKind.STORE_REVERT: StepRunner.revert_store,
    StepKind.ROUTER_STOP: StepRunner.stop_router,
    StepKind.ROUTER_RELOAD: StepRunner.reload_router,
    StepKind.ADD_KEY: StepRunner.add_key,
    StepKind.WITHDRAW_KEY: StepRunner.withdraw_key,
    StepKind.PUBLISH_WEIGHTS: StepRunner.publish_weights,
    StepKind.WORKER_DRAIN: StepRunner.drain_worker,
    StepKind.WORKER_LIMIT: StepRunner.limit_worker,
}


class Report:
    """The result of a run: its Violations and the number of requests by status."""

    __slots__ = ("seed", "folder", "violations", "counts_by_status")

    def __init__(self, seed, folder, violations, requests):
        self.seed = seed
        self.folder = folder
        self.violations = violations
        self.counts_by_status = {}
        for request in requests:
            count = self.counts_by_status.get(request.status, 0)
            self.counts_by_status[request.status] = count + 1


def run_soak(options):
    """Run the soak once and return its Report."""
    folder = options.folder or tempfile.mkdtemp(prefix=f"soak-{options.seed}-")
    fleet = SoakFleet(folder, options.routers)
    requests = []
    try:
        fleet.publish_configuration()
        fleet.publish_weights_version()
        fleet.wait_until_ready()
        runner = StepRunner(fleet)
        runner.timeline.published_at_by_version[fleet.weights_version] = now_ms()
        clients = [
            Client(number, options.seed, fleet, requests)
            for number in range(options.clients)
        ]
        for client in clients:
            client.start()
        release = SoakRelease(fleet, PERMANENT_KEYS[UNLIMITED_WORKSPACE])
        release.order()
        _execute_plan(runner, make_plan(options.seed, options.seconds), options.seconds)
        runner.timeline.end_limits(now_ms())
        fleet.clear_faults()
        runner.violations += _check_recovery(fleet, clients[0])
        runner.violations += release.check()
        for client in clients:
            client.running = False
        observations = Observations(requests, fleet.read_executions(), runner.timeline)
        violations = runner.violations + find_violations(observations)
    finally:
        fleet.close()
    return Report(options.seed, folder, violations, requests)


def _execute_plan(runner, steps, seconds):
    started_at = time.monotonic()
    pending = list(steps)
    while time.monotonic() - started_at < seconds:
        runner.check_routers()
        while pending and pending[0].start <= time.monotonic() - started_at:
            spawn_n(runner.execute, pending.pop(0))
        sleep(0.02)


def _check_recovery(fleet, client):
    """Return Violations for each router and route that does not serve in time."""
    violations = []
    deadline = time.monotonic() + RECOVERY_TIMEOUT_S
    for router in fleet.routers:
        for route in sorted(set(WEIGHTED_ROUTES)):
            status = INCOMPLETE
            while status != OK and time.monotonic() < deadline:
                key = PERMANENT_KEYS[UNLIMITED_WORKSPACE]
                status = client.send(route, UNLIMITED_WORKSPACE, key, router).status
                sleep(0.1)
            if status != OK:
                violations.append(
                    Violation("recovery", router.name, f"{route}: {status}")
                )
    return violations


def main(
    *,
    seed: int,
    seeds: int = 1,
    seconds: int = 20,
    routers: int = 3,
    clients: int = 9,
):
    """Run the soak and print the violations; exit with 1 if there are any.

    :param seed: the first seed
    :param seeds: how many seeds to run, one after the other
    :param seconds: length of a run
    :param routers: number of routers
    :param clients: number of clients
    """
    failed_runs = 0
    for number in range(seed, seed + seeds):
        options = Options(number, seconds, routers, clients)
        findings = options.findings()
        if findings:
            print(*findings, sep="\n")
            return 2
        report = run_soak(options)
        failed_runs += bool(report.violations)
        print(
            f"seed {number}: {len(report.violations)} violations, responses by status "
            f"{dict(sorted(report.counts_by_status.items()))}, logs {report.folder}"
        )
        for violation in report.violations[:20]:
            print(f"  {violation}")
    return 1 if failed_runs else 0
