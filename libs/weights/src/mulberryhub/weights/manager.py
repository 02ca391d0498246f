"""Orders upstreams to load the newest weights while this router holds the lease."""

from mulberryhub.base.green import sleep
from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_service, spawn_task
from mulberryhub.fleet.records import Removal
from mulberryhub.fleet.rollout import Rollout
from mulberryhub.weights.loaded import LoadedVersions
from mulberryhub.weights.messages import LoadOrder, OrderResult
from mulberryhub.weights.plan import choose_next_loads, find_outdated
from mulberryhub.weights.takeover import TAKEOVER_DELAY_PER_RANK_MS, Takeover

STEP_INTERVAL_MS = 50
FIRST_LEASE_READ_DELAY_MS = 1_000  # after the start, by the first two routers in rank
LEASE_RENEWAL_INTERVAL_MS = 700
ROLLOUT_HEARTBEAT_MS = 1_000  # between updates of a rollout that makes no progress
MIN_DRAIN_MS = 250  # in which all routers learn of a load and share what they run
MAX_DRAIN_MS = 1_200
FIRST_POLL_DELAY_MS = 1_200  # from an accepted order to the first report read
POLL_INTERVAL_MS = 60  # between reports read during a load
LOAD_TIMEOUT_MS = 10_000
RETRY_DELAY_MS = 300  # from a failed load to the next attempt at the same upstream
MAX_ORDER_ATTEMPT_COUNT = 5  # without an answer; accepting one voids earlier ones

log = module_logger(__name__)


class RolloutManager:
    """Rolls out new weights to the upstreams of all services.

    When upstreams need new weights, a router takes the lease when its Takeover allows
    it, then sends orders and publishes the progress to the other routers.

    `read_report(upstream)` returns an EngineReport or None, and
    `send_order(upstream, order)` returns an OrderResult. `loads` are the requests in
    flight by upstream, `pool_builder` is a PoolBuilder. `handover_delay` is the time in
    ms that must pass between the end of another router's lease and the first order of
    this one. `version_time` limits the ms until new weights are loaded everywhere.
    """

    __slots__ = (
        "_name",
        "_fleet_state",
        "_lease",
        "_read_report",
        "_send_order",
        "_loads",
        "_pool_builder",
        "_handover_delay",
        "_version_time",
        "_clock",
        "_counters",
        "_pending_since",
        "_renewed_at",
        "_published_at",
        "_loading_by_id",
        "_retry_at_by_id",
        "_loaded",
        "_takeover",
        "_rollout_fence",
        "_rollout_revision",
        "_rejected_fence",
        "_idle_revision",
    )

    def __init__(
        self,
        name,
        fleet_state,
        lease,
        read_report,
        send_order,
        loads,
        pool_builder,
        handover_delay,
        version_time,
        clock,
        counters,
    ):
        self._name = name
        self._fleet_state = fleet_state
        self._lease = lease
        self._read_report = read_report
        self._send_order = send_order
        self._loads = loads
        self._pool_builder = pool_builder
        self._handover_delay = handover_delay
        self._version_time = version_time
        self._clock = clock
        self._counters = counters
        self._pending_since = None
        self._renewed_at = None
        self._published_at = 0
        self._loading_by_id = {}
        self._retry_at_by_id = {}
        self._loaded = LoadedVersions()
        self._takeover = Takeover(name, fleet_state, lease, clock)
        self._rollout_fence = -1
        self._rollout_revision = 0
        self._rejected_fence = -1
        self._idle_revision = None

    def start(self):
        """Start a background task that runs until the process ends."""
        spawn_service(self._run)

    def step(self):
        """Renew the lease, start loads and publish the progress, as far as needed."""
        self._takeover.note_rollout(self._rollout_fence)
        if self._is_idle():
            return
        revision = self._fleet_state.revision
        outdated = find_outdated(self._fleet_state)
        if not outdated and not self._loading_by_id:
            self._pending_since = None
            self._idle_revision = revision
            return
        now = self._clock.now()
        if self._pending_since is None:
            self._pending_since = now
        self._takeover.read_lease()
        if not self._lease.is_held and not self._takeover.may_take(self._pending_since):
            return
        self._renew_lease(now)
        if self.may_send_orders() and self._may_start_loads():
            self._start_loads(outdated)
            self._publish_heartbeat()

    def may_send_orders(self):
        """Return whether this router may send orders now.

        It has to hold the lease with a fencing token that no upstream has rejected.
        """
        return (
            self._lease.is_held
            and self._lease.has_other_expired_for(self._handover_delay)
            and self._lease.offset > self._rejected_fence
        )

    def _may_start_loads(self):
        return self._owns_rollout() or not self._takeover.may_others_load()

    def _run(self):
        started_at = self._clock.now()
        while self._clock.now() - started_at < FIRST_LEASE_READ_DELAY_MS:
            sleep(STEP_INTERVAL_MS / 1000)
            self.step()
        if self._takeover.rank_delay() <= TAKEOVER_DELAY_PER_RANK_MS:
            self._lease.read_new_records()
        while True:
            sleep(STEP_INTERVAL_MS / 1000)
            self.step()

    def _is_idle(self):
        """Return whether nothing was outdated and nothing has changed since then."""
        return (
            not self._loading_by_id
            and self._fleet_state.revision == self._idle_revision
        )

    def _owns_rollout(self):
        """Return whether this router published the newest known rollout."""
        return (
            self._fleet_state.rollout.fence == self._rollout_fence
            and self._rollout_fence >= 0
        )

    def _renew_lease(self, now):
        """Acquire or renew the lease, at most every LEASE_RENEWAL_INTERVAL_MS."""
        if (
            self._renewed_at is not None
            and now - self._renewed_at < LEASE_RENEWAL_INTERVAL_MS
        ):
            return
        self._renewed_at = now
        self._lease.renew_or_acquire()

    def _start_loads(self, outdated):
        """Start the loads of `outdated` that the pool of each service allows."""
        has_started = False
        outdated_by_service = {}
        for item in outdated:
            outdated_by_service.setdefault(item.upstream.service, []).append(item)
        for service, items in outdated_by_service.items():
            pool = self._pool_builder.pool(
                service, self._loading_by_id, self._version_time
            )
            now = self._clock.now()
            due = [
                item
                for item in items
                if self._retry_at_by_id.get(item.upstream.id, 0) <= now
            ]
            for item in choose_next_loads(due, pool, self._loads.work):
                self._loading_by_id[item.upstream.id] = item.upstream
                spawn_task(self._load, item)
                has_started = True
                self._log_started(item, pool)
        if has_started:
            self._publish_rollout()

    def _log_started(self, item, pool):
        log.info(
            "load started",
            upstream=item.upstream.id,
            version=item.version,
            age_ms=item.age,
            pool_size=pool.size,
            loading=len(self._loading_by_id),
            mean_work_ms=round(pool.mean_work),
            demand_ms_per_s=round(pool.demand),
        )

    def _load(self, item):
        """Drain an upstream, order its load and wait for the load to finish.

        A failed load is tried again after RETRY_DELAY_MS.
        """
        upstream = item.upstream
        try:
            self._drain(upstream)
            if self._send_until_answered(item) and self._wait_until_loaded(item):
                self._loaded.record(upstream, item.model, item.version)
                self._counters.add("weights.loaded")
                log.info("weights loaded", upstream=upstream.id, version=item.version)
            else:
                self._retry_at_by_id[upstream.id] = self._clock.now() + RETRY_DELAY_MS
        finally:
            self._loading_by_id.pop(upstream.id, None)
            self._publish_rollout()

    def _drain(self, upstream):
        """Wait until other upstreams can resume all running requests of `upstream`.

        Gives up after MAX_DRAIN_MS.
        """
        started_at = self._clock.now()
        sleep(MIN_DRAIN_MS / 1000)
        while self._clock.now() - started_at < MAX_DRAIN_MS:
            if not self._loads.bound_count(upstream.id):
                return
            sleep(STEP_INTERVAL_MS / 1000)

    def _send_until_answered(self, item):
        """Send the order; return whether the upstream executes it or has done so.

        An order that gets no answer may still be executed seconds later and cut off
        the requests that run then. It is therefore repeated at once: the upstream
        accepts only one of the orders that expect the same count of accepted orders.
        """
        for _ in range(MAX_ORDER_ATTEMPT_COUNT):
            result = self._send_order_once(item)
            if result is not OrderResult.UNKNOWN:
                return result in (OrderResult.ACCEPTED, OrderResult.HOLDS)
        return self._executes_order(item)

    def _send_order_once(self, item):
        """Send one order and return the OrderResult.

        HOLDS is returned without an order if the upstream reports the version, and
        REJECTED if it gives no report or this router may not send orders.
        """
        report = self._read_report(item.upstream)
        if report is None:
            log.info("upstream not reached for an order", upstream=item.upstream.id)
            return OrderResult.REJECTED
        if report.versions_by_model.get(item.model, 0) >= item.version:
            return OrderResult.HOLDS
        if not self.may_send_orders():
            return OrderResult.REJECTED
        order = LoadOrder(
            item.model,
            item.version,
            self._name,
            self._lease.offset,
            report.accepted_order_count,
            cuts_running_requests=not self._loads.bound_count(item.upstream.id),
        )
        result = self._send_order(item.upstream, order)
        self._record_result(item.upstream, order, result)
        return result

    def _executes_order(self, item):
        """Return whether an upstream executes an order or has the version of `item`."""
        report = self._read_report(item.upstream)
        if report is None:
            return False
        has_version = report.versions_by_model.get(item.model, 0) >= item.version
        return has_version or report.is_executing_order

    def _record_result(self, upstream, order, result):
        """Count and log the result of an order.

        A fenced order stops this router from sending orders until it has a higher
        fencing token. An upstream whose address belongs to another is removed.
        """
        self._counters.add(f"order.{result.value}")
        log.info(
            "load ordered",
            upstream=upstream.id,
            version=order.version,
            fence=order.fence,
            orders_before=order.expected_order_count,
            ends_runs=order.cuts_running_requests,
            result=result.value,
        )
        if result is OrderResult.FENCED:
            self._rejected_fence = order.fence
        if result is OrderResult.OTHER_UPSTREAM:
            self._fleet_state.apply(Removal(upstream.id, upstream.offset))

    def _wait_until_loaded(self, item):
        """Return whether the upstream loads the version within LOAD_TIMEOUT_MS.

        The load has failed if the upstream is removed, gives no report, or executes no
        order after half of that time.
        """
        deadline = self._clock.now() + LOAD_TIMEOUT_MS
        sleep(FIRST_POLL_DELAY_MS / 1000)
        while self._clock.now() < deadline:
            if (
                self._fleet_state.version_at(item.upstream.id, item.model)
                >= item.version
            ):
                return True
            if item.upstream.id not in self._fleet_state.upstreams_by_id:
                return False
            report = self._read_report(item.upstream)
            if report is None:
                return False
            if report.versions_by_model.get(item.model, 0) >= item.version:
                return True
            if (
                not report.is_executing_order
                and self._clock.now() > deadline - LOAD_TIMEOUT_MS / 2
            ):
                return False
            sleep(POLL_INTERVAL_MS / 1000)
        return False

    def _publish_heartbeat(self):
        """Publish the rollout after each renewal of the lease, and at intervals.

        Others count the lease from when they hear of its record.
        """
        elapsed = self._clock.now() - self._published_at
        has_renewed = self._rollout_fence != self._lease.offset
        if has_renewed or elapsed >= ROLLOUT_HEARTBEAT_MS:
            self._publish_rollout()

    def _publish_rollout(self):
        """Publish to all routers which upstreams are loading and which have loaded."""
        if not self.may_send_orders():
            return
        self._published_at = self._clock.now()
        if self._rollout_fence != self._lease.offset:
            self._rollout_fence = self._lease.offset
            self._rollout_revision = 0
        self._rollout_revision += 1
        self._loaded.retain(self._fleet_state.upstreams_by_id)
        self._fleet_state.apply_rollout(
            Rollout(
                fence=self._rollout_fence,
                revision=self._rollout_revision,
                loading=sorted(self._loading_by_id),
                versions_by_id=self._loaded.versions_by_id(),
                started_by_id=self._loaded.started_by_id(),
            )
        )
