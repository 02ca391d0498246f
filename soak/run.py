"""One run of the soak: programs, clients, steps, and the checks at its end."""

import signal
import tempfile
import time

from mulberryhub.base.green import sleep, spawn_n
from soak.clients import CUT, KINDS, Client, now
from soak.fleet import KEPT_KEYS, OPEN_WORKSPACE, SoakFleet
from soak.history import History, Span
from soak.links import LinkFault
from soak.options import Options
from soak.plan import StepKind, make_plan
from soak.promises import Breach, Evidence, find_breaches

INTERPRETER_TIME = 0.15  # s in which signals meet no program yet
RESTART_PAUSE = 0.4  # s between a process's end and its next start
RECOVERY_TIME = 12.0  # s in which all kinds of requests are served after the faults
STOP_TIME = 6.0  # s that a router may take to stop
OK = 200


class Run:
    """Carries out the steps of a plan against a SoakFleet."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.history = History()
        self.breaches = []
        self._expected_ends = set()

    def carry_out(self, step):
        """Do a step, wait for its duration and end it."""
        target = self._target(step)
        span = Span(step, getattr(target, "name", None) or step.kind, now())
        self.history.spans.append(span)
        ACTIONS[step.kind](self, step, target)
        span.ended = now()

    def check_processes(self):
        """Note routers that ended by themselves."""
        for router in self.fleet.routers:
            code = router.popen.poll()
            if code is not None and router.name not in self._expected_ends:
                self.breaches.append(Breach("runs", router.name, f"exit code {code}"))
                router.start()

    def _target(self, step):
        if step.kind in (
            StepKind.WORKER_LINK_FAULT,
            StepKind.WORKER_FAULT,
            StepKind.WORKER_KILL,
        ):
            return self._pick(self.fleet.workers, step)
        if step.kind in (StepKind.WORKER_PAUSE, StepKind.WORKER_DRAIN):
            return self._pick(self.fleet.workers, step)
        return self._pick(self.fleet.routers, step)

    @staticmethod
    def _pick(items, step):
        return items[step.index % len(items)]

    def store_fault(self, step, _):
        """Let the store misbehave towards all."""
        self.fleet.store.fault(**{step.mode: True})
        sleep(step.duration)
        self.fleet.store.fault(**{step.mode: None})

    def store_link(self, step, router):
        """Harm the link between a router and the store."""
        link = self.fleet.store_links[self.fleet.routers.index(router)]
        self._harm(link, step)

    def worker_link(self, step, worker):
        """Harm the links to a worker."""
        self._harm(worker.link, step)

    @staticmethod
    def _harm(link, step):
        link.set_fault(step.mode)
        sleep(step.duration)
        link.set_fault(LinkFault.NONE)

    def worker_fault(self, step, worker):
        """Let a worker misbehave for a few requests."""
        times = 1 + step.index % 3
        if step.mode == "pause":
            worker.process.fault(shed=times, retry_after=f"{step.duration:.2f}")
        else:
            worker.process.fault(**{step.mode: times})
        sleep(step.duration)
        worker.process.fault(retry_after=None)

    def worker_kill(self, step, worker):
        """End a worker at once; another comes in its place."""
        self.fleet.replace_worker(worker)
        sleep(step.duration)

    def worker_pause(self, step, worker):
        """Stop a worker's process for a while."""
        worker.process.signal(signal.SIGSTOP)
        sleep(step.duration)
        worker.process.signal(signal.SIGCONT)

    def drain(self, step, worker):
        """Let a worker leave in good order; another comes in its place."""
        service = worker.service
        if sum(item.service == service for item in self.fleet.workers) < 2:
            return
        self.fleet.add_worker(f"{worker.id}d", service)
        if worker not in self.fleet.workers:
            return  # It was killed meanwhile.
        self.fleet.drain_worker(worker)
        self.history.left_at_by_id[worker.id] = now()
        sleep(step.duration)

    def router_kill(self, step, router):
        """End a router at once and start it again."""
        self._end(router, signal.SIGKILL)

    def router_stop(self, step, router):
        """Ask a router to stop and start it again once it has."""
        self._end(router, signal.SIGTERM)

    def router_pause(self, step, router):
        """Stop a router's process for a while."""
        router.popen.send_signal(signal.SIGSTOP)
        sleep(step.duration)
        router.popen.send_signal(signal.SIGCONT)

    def router_hup(self, step, router):
        """Tell a router that its settings changed, once its program has begun."""
        if router.name not in self._expected_ends:
            router.popen.send_signal(signal.SIGHUP)
        sleep(step.duration)

    def forget(self, step, _):
        """Let the store delete its history."""
        self.fleet.store.request("POST", "/forget")
        sleep(step.duration)

    def configure(self, step, _):
        """Write a newer configuration, with one key more."""
        self.fleet.spare_keys.append(f"key-spare-{step.start:.3f}")
        self.fleet.configure()
        sleep(step.duration)

    def withdraw(self, step, _):
        """Take a key away."""
        if self.fleet.spare_keys:
            key = self.fleet.spare_keys.pop(0)
            self.fleet.configure()
            self.history.withdrawn_at_by_key[key] = now()
        sleep(step.duration)

    def new_weights(self, step, _):
        """Name new weights."""
        self.fleet.name_weights()
        self.history.named_at_by_version[self.fleet.weights] = now()
        sleep(step.duration)

    def _end(self, router, number):
        if router.name in self._expected_ends:
            return
        self._expected_ends.add(router.name)
        try:
            router.popen.send_signal(signal.SIGCONT)
            router.popen.send_signal(number)
            self._wait_for_end(router)
            sleep(RESTART_PAUSE)
            router.start()
            sleep(INTERPRETER_TIME)
        finally:
            self._expected_ends.discard(router.name)

    def _wait_for_end(self, router):
        end = time.monotonic() + STOP_TIME
        while router.popen.poll() is None and time.monotonic() < end:
            sleep(0.02)
        if router.popen.poll() is None:
            self.breaches.append(Breach("stop", router.name, "still runs"))
            router.popen.kill()
            router.popen.wait()


ACTIONS = {
    StepKind.STORE_FAULT: Run.store_fault,
    StepKind.STORE_LINK_FAULT: Run.store_link,
    StepKind.WORKER_LINK_FAULT: Run.worker_link,
    StepKind.WORKER_FAULT: Run.worker_fault,
    StepKind.WORKER_KILL: Run.worker_kill,
    StepKind.WORKER_PAUSE: Run.worker_pause,
    StepKind.ROUTER_KILL: Run.router_kill,
    StepKind.ROUTER_PAUSE: Run.router_pause,
    StepKind.STORE_TRIM: Run.forget,
    StepKind.ROUTER_STOP: Run.router_stop,
    StepKind.ROUTER_RELOAD: Run.router_hup,
    StepKind.ADD_KEY: Run.configure,
    StepKind.WITHDRAW_KEY: Run.withdraw,
    StepKind.PUBLISH_WEIGHTS: Run.new_weights,
    StepKind.WORKER_DRAIN: Run.drain,
}


class Report:
    """The outcome of a run: its breaches, and how many requests ended how."""

    __slots__ = ("seed", "folder", "breaches", "counts_by_status")

    def __init__(self, seed, folder, breaches, seen):
        self.seed = seed
        self.folder = folder
        self.breaches = breaches
        self.counts_by_status = {}
        for item in seen:
            count = self.counts_by_status.get(item.status, 0)
            self.counts_by_status[item.status] = count + 1


def run_soak(options):
    """Run the soak once and return its Report."""
    folder = options.folder or tempfile.mkdtemp(prefix=f"soak-{options.seed}-")
    fleet = SoakFleet(folder, options.routers)
    seen = []
    try:
        fleet.configure()
        fleet.name_weights()
        fleet.wait_until_ready()
        run = Run(fleet)
        run.history.named_at_by_version[fleet.weights] = now()
        clients = [
            Client(number, options.seed, fleet, seen)
            for number in range(options.clients)
        ]
        for client in clients:
            client.start()
        _play(run, make_plan(options.seed, options.seconds), options.seconds)
        fleet.heal()
        run.breaches += _find_unserved(fleet, clients[0])
        for client in clients:
            client.running = False
        evidence = Evidence(seen, fleet.read_runs(), run.history)
        breaches = run.breaches + find_breaches(evidence)
    finally:
        fleet.close()
    return Report(options.seed, folder, breaches, seen)


def _play(run, steps, seconds):
    began = time.monotonic()
    waiting = list(steps)
    while time.monotonic() - began < seconds:
        run.check_processes()
        while waiting and waiting[0].start <= time.monotonic() - began:
            spawn_n(run.carry_out, waiting.pop(0))
        sleep(0.02)


def _find_unserved(fleet, client):
    """Return Breaches for each router and kind that is not served after the faults."""
    breaches = []
    end = time.monotonic() + RECOVERY_TIME
    for router in fleet.routers:
        for kind in sorted(set(KINDS)):
            status = CUT
            while status != OK and time.monotonic() < end:
                key = KEPT_KEYS[OPEN_WORKSPACE]
                status = client.ask(kind, OPEN_WORKSPACE, key, router).status
                sleep(0.1)
            if status != OK:
                breaches.append(Breach("recovery", router.name, f"{kind}: {status}"))
    return breaches


def soak(
    *,
    seed: int,
    seeds: int = 1,
    seconds: int = 20,
    routers: int = 3,
    clients: int = 9,
):
    """Run the soak and print what was broken; the exit code is 1 where anything was.

    :param seed: the first seed
    :param seeds: how many seeds to run, one after the other
    :param seconds: length of a run
    :param routers: number of routers
    :param clients: number of clients
    """
    broken = 0
    for number in range(seed, seed + seeds):
        options = Options(number, seconds, routers, clients)
        findings = options.findings()
        if findings:
            print(*findings, sep="\n")
            return 2
        report = run_soak(options)
        broken += bool(report.breaches)
        print(
            f"seed {number}: {len(report.breaches)} breaches, answers "
            f"{dict(sorted(report.counts_by_status.items()))}, logs {report.folder}"
        )
        for breach in report.breaches[:20]:
            print(f"  {breach}")
    return 1 if broken else 0
