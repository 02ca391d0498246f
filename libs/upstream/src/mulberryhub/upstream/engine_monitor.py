"""Polls engines for load and incarnation at a limited total rate."""

from mulberryhub.base.green import sleep, spawn, spawn_n
from mulberryhub.base.logs import module_logger
from mulberryhub.upstream.engine_calls import read_load
from mulberryhub.upstream.errors import EngineFailure

POLL_INTERVAL_MS = 1_000  # per engine, unless MAX_POLLS_PER_S allows fewer polls
MAX_POLLS_PER_S = 10  # over all engines
POLL_TIMEOUT_MS = 2_000

log = module_logger(__name__)


class EngineMonitor:
    """Polls the engines in the configuration in turn.

    Loads are passed to `policy.record_report` and successes and failures to `health`. A
    new incarnation of an engine is passed to `policy.discard_engine_state`. The cost
    does not grow with the number of engines: with more than 10, each is polled less
    often.
    """

    __slots__ = (
        "incarnations_by_id",
        "_replica",
        "_policy",
        "_health",
        "_clock",
        "_counters",
    )

    def __init__(self, replica, policy, health, clock, counters):
        self.incarnations_by_id = {}
        self._replica = replica
        self._policy = policy
        self._health = health
        self._clock = clock
        self._counters = counters

    def start(self):
        """Start polling in a green thread."""
        spawn(self._run)

    def _run(self):
        while True:
            view = self._replica.current()
            engines = view.engines if view is not None else []
            delay_ms = max(
                POLL_INTERVAL_MS / max(1, len(engines)), 1000 / MAX_POLLS_PER_S
            )
            for engine in engines:
                spawn_n(self._poll, engine)
                sleep(delay_ms / 1000)
            if not engines:
                sleep(POLL_INTERVAL_MS / 1000)

    def _poll(self, engine):
        requested_at = self._clock.now()
        try:
            load = read_load(engine, POLL_TIMEOUT_MS)
        except EngineFailure as failure:
            log.debug("load of engine {} cannot be read: {}", engine.id, failure)
            self._counters.add("upstream.poll_failed")
            self._health.record_failure(engine.id)
            return
        self._health.record_success(engine.id)
        self.record_incarnation(engine.id, load.incarnation)
        # The engine's own time of the report is of another clock, and may be off.
        age_ms = self._clock.now() - requested_at
        self._policy.record_report(engine.id, load, age_ms)

    def record_incarnation(self, engine_id, incarnation):
        """Record an engine's incarnation, which identifies one run of its process.

        If the engine has restarted, its routing state is discarded.
        """
        previous = self.incarnations_by_id.get(engine_id)
        if previous == incarnation:
            return
        self.incarnations_by_id[engine_id] = incarnation
        if previous is not None:
            self._policy.discard_engine_state(engine_id)
            self._counters.add("upstream.new_incarnation")
            log.info("engine {} has restarted as a new incarnation", engine_id)
