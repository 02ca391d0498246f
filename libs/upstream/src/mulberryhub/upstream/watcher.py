"""Polls engines for load and incarnation, within a fixed number of polls a second."""

import msgspec

from mulberryhub.base.green import sleep, spawn, spawn_n, urllib3
from mulberryhub.base.logs import module_logger
from mulberryhub.upstream.messages import EngineLoad

POLL_INTERVAL = 1_000  # ms between polls of one engine, where the budget allows
POLLS_PER_SECOND = 10
POLL_TIMEOUT = 2_000  # ms
POOLS = 4_096

log = module_logger(__name__)


class Watcher:
    """Polls each engine of the configuration in turn.

    Reports go to `policy.reported`, a new incarnation to `policy.forgotten`, and
    failures to `health`. The cost does not grow with the number of engines: above
    10 engines, each is polled less often.
    """

    __slots__ = (
        "incarnations_by_id",
        "_replica",
        "_policy",
        "_health",
        "_clock",
        "_counters",
        "_http",
    )

    def __init__(self, replica, policy, health, clock, counters):
        self.incarnations_by_id = {}
        self._replica = replica
        self._policy = policy
        self._health = health
        self._clock = clock
        self._counters = counters
        self._http = urllib3.PoolManager(num_pools=POOLS, maxsize=1, retries=False)

    def start(self):
        """Start to poll on a green thread."""
        spawn(self._run)

    def _run(self):
        while True:
            view = self._replica.current()
            engines = view.engines if view is not None else []
            pause = max(POLL_INTERVAL / max(1, len(engines)), 1000 / POLLS_PER_SECOND)
            for engine in engines:
                spawn_n(self._poll, engine)
                sleep(pause / 1000)
            if not engines:
                sleep(POLL_INTERVAL / 1000)

    def _poll(self, engine):
        url = f"http://{engine.address}/load"
        limit = urllib3.Timeout(total=POLL_TIMEOUT / 1000)
        try:
            answer = self._http.request("GET", url, timeout=limit)
            load = msgspec.json.decode(answer.data, type=EngineLoad)
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError, OSError):
            self._counters.add("upstream.poll_failed")
            self._health.failed(engine.id)
            return
        self._health.answered(engine.id)
        self.note_incarnation(engine.id, load.incarnation)
        age = max(0, self._clock.wall() - load.time)
        self._policy.reported(engine.id, load, age)

    def note_incarnation(self, engine_id, incarnation):
        """Drop what is known of an engine that has come back as a new incarnation."""
        known = self.incarnations_by_id.get(engine_id)
        if known == incarnation:
            return
        self.incarnations_by_id[engine_id] = incarnation
        if known is not None:
            self._policy.forgotten(engine_id)
            self._counters.add("upstream.new_incarnation")
            log.info("engine {} is a new incarnation", engine_id)
