"""Orders to engines: the holder of a lease loads the versions in the configuration.

The wanted state is the newest accepted inventory. The holder compares each engine
with it again and again, so that an engine that carried out an older order, because
it checks no fencing numbers, is put right. The fencing number grows with the
configuration and, within one, with the lease.
"""

import msgspec

from mulberryhub.base.green import GreenPool, sleep, spawn_n
from mulberryhub.base.logs import module_logger

LEASE_NAME = "lease-engine-orders"
LEASE_PAUSE = 2_000  # ms between reads of the lease
ROUND_PAUSE = 1_000  # ms between two looks at the engines
ENGINE_PAUSE = 100  # ms between two engines
SETTLE_TIME = 6_000  # ms after taking the lease in which orders of others may end
LEASE_BITS = 32
STALE_STATUS = 409

log = module_logger(__name__)


class LoadOrder(msgspec.Struct, frozen=True):
    """An order to load a version of a model."""

    model: str
    version: str
    fencing: int
    kind: str = "load"


def fencing_number(config_offset, lease_offset):
    """Return the number of orders for this configuration under this lease."""
    return (config_offset + 1) << LEASE_BITS | lease_offset


class EngineOrders:
    """Keeps engines at the wanted versions while this router holds the lease.

    `current()` gives the configuration. `read_versions(engine)` gives the engine's
    versions by model, or None where it does not answer. `send(engine, order)` gives
    the HTTP status after the load has ended, 0 where no answer came.
    """

    __slots__ = (
        "_lease",
        "_current",
        "_read_versions",
        "_send",
        "_clock",
        "_counters",
        "_pool",
        "_busy_ids",
    )

    def __init__(self, lease, current, read_versions, send, clock, counters):
        self._lease = lease
        self._current = current
        self._read_versions = read_versions
        self._send = send
        self._clock = clock
        self._counters = counters
        self._pool = GreenPool(1)
        self._busy_ids = set()

    def start(self):
        """Follow the lease and give orders for as long as the process runs."""
        spawn_n(self._follow_lease)
        spawn_n(self._run)

    def _follow_lease(self):
        while True:
            self._lease.step()
            sleep(LEASE_PAUSE / 1000)

    def _run(self):
        while True:
            sleep(ROUND_PAUSE / 1000)
            self.look_at_engines()

    def look_at_engines(self):
        """Order what is missing on each engine; wait while all loads are taken."""
        view = self._current()
        if view is None or not self.may_order():
            return
        self._pool.resize(view.inventory.rules.loads_at_once)
        for engine in view.engines:
            if "load" in engine.orders and engine.id not in self._busy_ids:
                self._look_at(engine, view)
                sleep(ENGINE_PAUSE / 1000)

    def may_order(self):
        """Return whether the lease is held and others' orders have ended."""
        since = self._lease.held_since
        if since is None or not self._lease.is_held:
            return False
        return self._clock.now() - since >= SETTLE_TIME

    def _look_at(self, engine, view):
        versions = self._read_versions(engine)
        if versions is None:
            self._counters.add("orders.engine_unreachable")
            return
        for model_id in engine.models:
            wanted = view.models_by_id[model_id].version
            if versions.get(model_id) != wanted:
                self._busy_ids.add(engine.id)
                self._pool.spawn_n(self._load, engine, model_id)
                return

    def _load(self, engine, model_id):
        try:
            if self.may_order():
                self._load_wanted(engine, model_id)
        finally:
            self._busy_ids.discard(engine.id)

    def _load_wanted(self, engine, model_id):
        """Order the version that is wanted now, as the pool may have made it wait."""
        view = self._current()
        model = view.models_by_id.get(model_id)
        if model is None:
            return
        number = fencing_number(view.offset, self._lease.offset)
        log.info("engine {}: load {} {}", engine.id, model.id, model.version)
        status = self._send(engine, LoadOrder(model.id, model.version, number))
        self._counters.add("orders.loads")
        if status == STALE_STATUS:
            self._counters.add("refusal.stale_fencing")
        elif status != 200:
            self._counters.add("retry.load_failed")
