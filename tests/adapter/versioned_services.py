"""Services whose stand-in workers have several software versions."""

from itertools import count
from threading import Thread

from mulberryhub.adapter_standins.documents import route
from mulberryhub.adapter_standins.fleet import wait_until
from tests.adapter.versioned_workers import (
    EVENT_COUNT,
    VersionedWorker,
    begin_stream,
    wait_until_gone,
    wait_until_known,
)

OLD, NEW = "4.1", "4.2"
CUT_AFTER = 3  # events, after which a first worker breaks off
REST = list(range(CUT_AFTER + 1, EVENT_COUNT + 1))
MAX_REFUSAL_S = 1.0
NAMES = count()


def routes_of(service):
    """Return the routes to `service` for one and for two attempts at most."""
    return [
        route(
            f"{kind}-{service}",
            f"/{kind}/{service}/",
            "streaming",
            service,
            maxAttempts=attempts,
            canResume=True,
        )
        for kind, attempts in (("once", 1), ("twice", 2))
    ]


class VersionedService:
    """A service without workers at first.

    `path` is that of requests that go to one worker at most, `failover_path` that of
    requests which may go to two. Without a `name` it has the next of s0, s1, ...
    """

    def __init__(self, platform, name=None):
        self.name = f"s{next(NAMES)}" if name is None else name
        self.path = f"/once/{self.name}/x"
        self.failover_path = f"/twice/{self.name}/x"
        self.workers = []
        self._platform = platform

    def start(self, version, **more):
        """Start a worker that all routers know."""
        worker = VersionedWorker(self._platform, self.name, version, **more)
        self.workers.append(worker)
        wait_until_known(self._platform, worker)
        return worker

    def remove(self, *workers):
        """Remove the entries of `workers`."""
        for worker in workers:
            worker.close()
            self.workers.remove(worker)
        wait_until_gone(self._platform, *workers)

    def runs(self):
        """Return the number of requests that arrived at the workers."""
        return sum(len(worker.runs) for worker in self.workers)


def begin_and_break_off(service, router, zone="b"):
    """Begin a stream at the old version; return the attempt's id and the worker."""
    worker = service.start(OLD, cut_after=CUT_AFTER, zone=zone)
    id, answer = begin_stream(router, service.path)
    assert answer.versions == {OLD}
    assert (len(answer.events), answer.is_complete) == (CUT_AFTER, False)
    return id, worker


def assert_refused_at_once(answer):
    """Fail unless the StreamAnswer says at once that nothing was run."""
    assert answer.status == 503
    assert answer.events == []
    assert 0 < answer.retry_after <= MAX_REFUSAL_S
    assert answer.took_s < MAX_REFUSAL_S


def break_off_in_answer(service, router, start_others):
    """Return the StreamAnswer of a stream whose first worker breaks off midway."""
    first = service.start(OLD, cut_after=CUT_AFTER, waits=True)
    answers = []

    def ask():
        answers.append(begin_stream(router, service.failover_path)[1])

    client = Thread(target=ask)
    client.start()
    wait_until(lambda: first.runs)
    start_others()
    first.go_on.set()
    client.join()
    return answers[0]
