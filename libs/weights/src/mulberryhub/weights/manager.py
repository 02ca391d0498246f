"""Brings upstreams to the newest weights while this router holds the lease."""

from mulberryhub.base.digest import placement_score
from mulberryhub.base.green import sleep
from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_task
from mulberryhub.fleet.records import Removal, Rollout
from mulberryhub.weights.messages import LoadOrder, OrderResult
from mulberryhub.weights.plan import choose_next, find_outdated

TICK = 50  # ms
RANK_PAUSE = 600  # ms by which each further router waits before it steps in
MAX_RANK = 6
LOOK_AHEAD = 1_000  # ms after the start at which the next in turn look at the lease
RENEWAL = 700  # ms between renewals of the lease
HEARTBEAT = 1_000  # ms between two tellings of a rollout without progress
EMPTYING_TIME = 250  # ms in which routers hear of a load and tell what they run
LONGEST_EMPTYING = 1_200  # ms
FIRST_LOOK = 1_200  # ms after an order before its upstream is asked
LOOK_PAUSE = 60  # ms between two looks
LOAD_TIMEOUT = 10_000  # ms
FAILURE_PAUSE = 300  # ms before an upstream is tried again
ORDER_TRIES = 5  # while no answer comes; an accepted one makes the earlier ones void

log = module_logger(__name__)


class Manager:
    """Orders the loads.

    `read_report(upstream)` returns an EngineReport or None, `send_order(upstream,
    order)` an OrderResult; `loads` has the work in flight at upstreams, `pool_view`
    is a PoolView.
    `settle_time` is the ms that must lie between the orders of two routers,
    `version_time` that in which new weights are due everywhere.
    """

    __slots__ = (
        "_name",
        "_beliefs",
        "_lease",
        "_read_report",
        "_send_order",
        "_loads",
        "_pool_view",
        "_settle_time",
        "_version_time",
        "_clock",
        "_counters",
        "_work_since",
        "_renewed_at",
        "_told_at",
        "_loading_by_id",
        "_not_before_by_id",
        "_versions_by_id",
        "_fence",
        "_revision",
        "_fenced_at",
        "_settled_at",
    )

    def __init__(
        self,
        name,
        beliefs,
        lease,
        read_report,
        send_order,
        loads,
        pool_view,
        settle_time,
        version_time,
        clock,
        counters,
    ):
        self._name = name
        self._beliefs = beliefs
        self._lease = lease
        self._read_report = read_report
        self._send_order = send_order
        self._loads = loads
        self._pool_view = pool_view
        self._settle_time = settle_time
        self._version_time = version_time
        self._clock = clock
        self._counters = counters
        self._work_since = None
        self._renewed_at = None
        self._told_at = 0
        self._loading_by_id = {}
        self._not_before_by_id = {}
        self._versions_by_id = {}
        self._fence = -1
        self._revision = 0
        self._fenced_at = -1
        self._settled_at = None

    def start(self):
        """Work in the background for as long as the process runs."""
        spawn_task(self._run)

    def step(self):
        """Look once at what is to be done."""
        if self._is_settled():
            return
        revision = self._beliefs.revision
        outdated = find_outdated(self._beliefs)
        if not outdated and not self._loading_by_id:
            self._work_since = None
            self._settled_at = revision
            return
        now = self._clock.now()
        if self._work_since is None:
            self._work_since = now
        if not self._is_mine() and self._beliefs.is_rolling_out():
            self._work_since = now
            return
        if not self._lease.is_held and now - self._work_since < self._turn():
            return
        self._keep_lease(now)
        if self.may_order():
            self._start_loads(outdated)
            self._tell_if_due()

    def may_order(self):
        """Tell whether this router may give orders now."""
        return (
            self._lease.is_held
            and self._lease.other_ended(self._settle_time)
            and self._lease.offset > self._fenced_at
        )

    def _run(self):
        started = self._clock.now()
        while self._clock.now() - started < LOOK_AHEAD:
            sleep(TICK / 1000)
            self.step()
        if self._turn() <= RANK_PAUSE:
            self._lease.step_reading()
        while True:
            sleep(TICK / 1000)
            self.step()

    def _is_settled(self):
        """Tell whether nothing was to be done and nothing has changed since."""
        return not self._loading_by_id and self._beliefs.revision == self._settled_at

    def _is_mine(self):
        return self._beliefs.rollout.fence == self._fence and self._fence >= 0

    def _turn(self):
        """Return the ms that this router leaves to others before it steps in."""
        if self._lease.was_mine:
            return 0
        names = self._beliefs.members_by_name
        ranked = sorted(
            names, key=lambda name: placement_score(b"order", name.encode())
        )
        rank = ranked.index(self._name) if self._name in names else len(ranked)
        return min(rank, MAX_RANK) * RANK_PAUSE

    def _keep_lease(self, now):
        if self._renewed_at is not None and now - self._renewed_at < RENEWAL:
            return
        self._renewed_at = now
        self._lease.step()

    def _start_loads(self, outdated):
        started = False
        by_service = {}
        for item in outdated:
            by_service.setdefault(item.upstream.service, []).append(item)
        for service, items in by_service.items():
            pool = self._pool_view.pool(
                service, self._loading_by_id, self._version_time
            )
            now = self._clock.now()
            due = [
                item
                for item in items
                if self._not_before_by_id.get(item.upstream.id, 0) <= now
            ]
            for item in choose_next(due, pool, self._loads.work):
                self._loading_by_id[item.upstream.id] = item.upstream
                spawn_task(self._load, item)
                started = True
        if started:
            self._tell()

    def _load(self, item):
        upstream = item.upstream
        try:
            self._empty(upstream)
            if self._order(item) and self._wait_until_loaded(item):
                versions = self._versions_by_id.setdefault(upstream.id, {})
                versions[item.model] = item.version
                self._counters.add("weights.loaded")
                log.info("weights loaded", upstream=upstream.id, version=item.version)
            else:
                self._not_before_by_id[upstream.id] = self._clock.now() + FAILURE_PAUSE
        finally:
            self._loading_by_id.pop(upstream.id, None)
            self._tell()

    def _empty(self, upstream):
        """Wait until no request runs that another upstream could not go on with."""
        began = self._clock.now()
        sleep(EMPTYING_TIME / 1000)
        while self._clock.now() - began < LONGEST_EMPTYING:
            if not self._loads.bound(upstream.id):
                return
            sleep(TICK / 1000)

    def _order(self, item):
        """Give the order; tell whether the upstream carries it out or has done so.

        An order without an answer may be carried out seconds later, when it cuts what
        runs then. So it is given again at once: the upstream takes only one of those
        that name the same number of orders before them.
        """
        for _ in range(ORDER_TRIES):
            result = self._order_once(item)
            if result is not OrderResult.UNKNOWN:
                return result in (OrderResult.ACCEPTED, OrderResult.HOLDS)
        return self._carries_out(item)

    def _order_once(self, item):
        """Return the OrderResult of an order, HOLDS where none is needed."""
        report = self._read_report(item.upstream)
        if report is None:
            log.info("upstream not reached for an order", upstream=item.upstream.id)
            return OrderResult.REJECTED
        if report.versions_by_model.get(item.model, 0) >= item.version:
            return OrderResult.HOLDS
        if not self.may_order():
            return OrderResult.REJECTED
        order = LoadOrder(
            item.model,
            item.version,
            self._name,
            self._lease.offset,
            report.orders,
            ends_runs=not self._loads.bound(item.upstream.id),
        )
        result = self._send_order(item.upstream, order)
        self._note_result(item.upstream, order, result)
        return result

    def _carries_out(self, item):
        """Tell whether an upstream carries out an order that it did not answer."""
        report = self._read_report(item.upstream)
        if report is None:
            return False
        loaded = report.versions_by_model.get(item.model, 0) >= item.version
        return loaded or report.is_busy

    def _note_result(self, upstream, order, result):
        self._counters.add(f"order.{result.value}")
        log.info(
            "load ordered",
            upstream=upstream.id,
            version=order.version,
            fence=order.fence,
            orders_before=order.orders_before,
            ends_runs=order.ends_runs,
            result=result.value,
        )
        if result is OrderResult.FENCED:
            self._fenced_at = order.fence
        if result is OrderResult.OTHER_UPSTREAM:
            self._beliefs.learn(Removal(upstream.id, upstream.offset))

    def _wait_until_loaded(self, item):
        end = self._clock.now() + LOAD_TIMEOUT
        sleep(FIRST_LOOK / 1000)
        while self._clock.now() < end:
            if self._beliefs.version_at(item.upstream.id, item.model) >= item.version:
                return True
            if item.upstream.id not in self._beliefs.upstreams_by_id:
                return False
            report = self._read_report(item.upstream)
            if report is None:
                return False
            if report.versions_by_model.get(item.model, 0) >= item.version:
                return True
            if not report.is_busy and self._clock.now() > end - LOAD_TIMEOUT / 2:
                return False
            sleep(LOOK_PAUSE / 1000)
        return False

    def _tell_if_due(self):
        if self._loading_by_id and self._clock.now() - self._told_at >= HEARTBEAT:
            self._tell()

    def _tell(self):
        """Tell all routers what loads now and what has loaded."""
        if not self.may_order():
            return
        self._told_at = self._clock.now()
        if self._fence != self._lease.offset:
            self._fence = self._lease.offset
            self._revision = 0
        self._revision += 1
        known = self._beliefs.upstreams_by_id
        self._versions_by_id = {
            id: versions for id, versions in self._versions_by_id.items() if id in known
        }
        self._beliefs.learn_rollout(
            Rollout(
                fence=self._fence,
                revision=self._revision,
                loading=sorted(self._loading_by_id),
                versions_by_id={id: dict(v) for id, v in self._versions_by_id.items()},
            )
        )
