"""Reconciles the model versions on engines with the configuration.

The desired versions are those in the newest accepted inventory. The router that
holds the lease compares each engine with it periodically and orders a load where
they differ. An engine that does not check fencing tokens may carry out an outdated
order; the next comparison corrects it. The fencing token increases with the
configuration's offset in the log and, within one configuration, with the lease's.
"""

import msgspec

from mulberryhub.base.green import GreenPool, sleep, spawn_n
from mulberryhub.base.logs import module_logger

LEASE_NAME = "lease-engine-orders"
LEASE_RENEWAL_INTERVAL_MS = 2_000
RECONCILE_INTERVAL_MS = 1_000
ENGINE_CHECK_INTERVAL_MS = 100  # between two engines in one pass
LEASE_SETTLE_MS = 6_000  # orders of the previous holder may still run for this long
LEASE_OFFSET_BITS = 32
STALE_FENCING_TOKEN_STATUS = 409

logger = module_logger(__name__)


class LoadOrder(msgspec.Struct, frozen=True):
    """An order to load a version of a model; `fencing` is the fencing token."""

    model: str
    version: str
    fencing: int
    kind: str = "load"


def fencing_token(config_offset, lease_offset):
    """Return the fencing token for a configuration and a lease, by their offsets."""
    return (config_offset + 1) << LEASE_OFFSET_BITS | lease_offset


class EngineReconciler:
    """Keeps engines at the desired versions while this router holds the lease.

    `current_view()` returns the ConfigView in force, or None. `read_versions(engine)`
    returns the engine's versions by model, or None where it does not answer.
    `send(engine, order)` returns the HTTP status after the load has ended, 0 where no
    answer came.
    """

    __slots__ = (
        "_lease",
        "_current_view",
        "_read_versions",
        "_send",
        "_clock",
        "_counters",
        "_pool",
        "_loading_engine_ids",
    )

    def __init__(self, lease, current_view, read_versions, send, clock, counters):
        self._lease = lease
        self._current_view = current_view
        self._read_versions = read_versions
        self._send = send
        self._clock = clock
        self._counters = counters
        self._pool = GreenPool(1)
        self._loading_engine_ids = set()

    def start(self):
        """Start to renew the lease and to reconcile engines until the process ends."""
        spawn_n(self._maintain_lease)
        spawn_n(self._run)

    def _maintain_lease(self):
        while True:
            self._lease.renew_or_acquire()
            sleep(LEASE_RENEWAL_INTERVAL_MS / 1000)

    def _run(self):
        while True:
            sleep(RECONCILE_INTERVAL_MS / 1000)
            self.reconcile_engines()

    def reconcile_engines(self):
        """Check each engine once and order a load where a version differs.

        Block while the configured number of loads is in progress.
        """
        view = self._current_view()
        if view is None or not self.can_send_orders():
            return
        self._pool.resize(view.inventory.rules.loads_at_once)
        for engine in view.engines:
            if "load" in engine.orders and engine.id not in self._loading_engine_ids:
                self._reconcile_engine(engine, view)
                sleep(ENGINE_CHECK_INTERVAL_MS / 1000)

    def can_send_orders(self):
        """Return whether the lease has been held for at least LEASE_SETTLE_MS."""
        since_ms = self._lease.held_since_ms
        if since_ms is None or not self._lease.is_held:
            return False
        return self._clock.now() - since_ms >= LEASE_SETTLE_MS

    def _reconcile_engine(self, engine, view):
        """Start a load of the first model whose version differs from the desired."""
        versions = self._read_versions(engine)
        if versions is None:
            self._counters.add("orders.engine_unreachable")
            return
        for model_id in engine.models:
            desired = view.models_by_id[model_id].version
            if versions.get(model_id) != desired:
                self._loading_engine_ids.add(engine.id)
                self._pool.spawn_n(self._load, engine, model_id)
                return

    def _load(self, engine, model_id):
        try:
            if self.can_send_orders():
                self._load_desired_version(engine, model_id)
        finally:
            self._loading_engine_ids.discard(engine.id)

    def _load_desired_version(self, engine, model_id):
        """Order the version that is desired now.

        The configuration may have changed while the load waited in the pool.
        """
        view = self._current_view()
        model = view.models_by_id.get(model_id)
        if model is None:
            return
        token = fencing_token(view.offset, self._lease.offset)
        logger.info(
            "engine {}: ordering load of model {} version {}",
            engine.id,
            model.id,
            model.version,
        )
        status = self._send(engine, LoadOrder(model.id, model.version, token))
        self._counters.add("orders.loads")
        if status == STALE_FENCING_TOKEN_STATUS:
            self._counters.add("refusal.stale_fencing")
        elif status != 200:
            self._counters.add("retry.load_failed")
