"""Decides releases while this router holds the lease, and publishes their state."""

from msgspec import structs

from mulberryhub.base.green import sleep
from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_service
from mulberryhub.fleet.release_records import ReleaseStatus
from mulberryhub.fleet.store import StoreUnavailable
from mulberryhub.releases.decision import decide
from mulberryhub.releases.ledger import ReleaseLedger
from mulberryhub.releases.outcomes import Outcomes
from mulberryhub.releases.release import begin_release, continue_release, goes_on
from mulberryhub.releases.release_sources import newest_release, order_ages
from mulberryhub.releases.step_log import log_step
from mulberryhub.releases.sums import Coverage
from mulberryhub.releases.takeover import pending_orders, store_era, unknown_orders
from mulberryhub.releases.upstream_versions import other_versions, ready_versions

STEP_INTERVAL_MS = 100
DECISION_INTERVAL_MS = 250  # less than between two reports of outcomes
# Between two states without a change, of which a router may miss two.
HEARTBEAT_MS = 400
SAVE_INTERVAL_MS = 2_000  # of the numbers of requests, which bound the exposure
STORE_RETRY_DELAY_MS = 300  # after a failed call

log = module_logger(__name__)


class ReleaseController:
    """Runs the releases that operators order, if this router is to decide.

    `takeover` is a ReleaseTakeover, `store` the `release_store` of PlatformPorts.
    `read_sums()` returns the RouterSums of all routers. `bounds` are ReleaseBounds.
    """

    __slots__ = (
        "_fleet_state",
        "_lease",
        "_takeover",
        "_ledger",
        "_read_sums",
        "_coverage",
        "_bounds",
        "_clock",
        "_counters",
        "_releases_by_service",
        "_revision",
        "_retry_at",
        "_unknown_offsets",
    )

    def __init__(
        self, fleet_state, lease, takeover, store, read_sums, bounds, clock, counters
    ):
        self._fleet_state = fleet_state
        self._lease = lease
        self._takeover = takeover
        self._ledger = ReleaseLedger(store)
        self._read_sums = read_sums
        self._coverage = Coverage(clock)
        self._bounds = bounds
        self._clock = clock
        self._counters = counters
        self._releases_by_service = {}
        self._revision = 0
        self._retry_at = 0
        self._unknown_offsets = set()  # of orders that were logged

    def start(self):
        """Start a background task that runs until the process ends."""
        spawn_service(self._run)

    def step(self):
        """Hold the lease while an order is pending, and advance its release."""
        self._log_unknown_services()
        orders = pending_orders(self._fleet_state)
        if not self._takeover.hold_lease(orders):
            self._ledger.forget()
            self._releases_by_service.clear()
            self._coverage.forget()
            return
        for order in orders:
            try:
                self._advance(order)
            except StoreUnavailable as error:
                self._note_unavailable(order, error)

    def _run(self):
        while True:
            sleep(STEP_INTERVAL_MS / 1000)
            self.step()

    def _log_unknown_services(self):
        for order in unknown_orders(self._fleet_state):
            if order.offset not in self._unknown_offsets:
                self._unknown_offsets.add(order.offset)
                log.warning(
                    "release of an unknown service",
                    service=order.service,
                    target=order.target,
                    offset=order.offset,
                )

    def _advance(self, order):
        """Decide, publish and save the release of an order; raise StoreUnavailable."""
        release = self._release_for(order)
        if release is None:
            return
        now = self._clock.now()
        if release.is_running and _is_due(
            release.decided_at, now, DECISION_INTERVAL_MS
        ):
            release.decided_at = now
            self._decide(release)
        self._publish_due(release)
        if self._clock.now() >= self._retry_at:
            self._save_due(release)
            self._publish_due(release)

    def _release_for(self, order):
        """Return the Release that an order asks for, None before it can be known."""
        release = self._releases_by_service.get(order.service)
        if release is not None and release.is_for(order):
            return release
        if self._clock.now() < self._retry_at:
            return None
        if not self._ledger.is_read:
            self._ledger.read()
        release = self._begin(order)
        if release is not None:
            self._releases_by_service[order.service] = release
            log_step(release, self._clock.now())
        return release

    def _begin(self, order):
        now, wall = self._clock.now(), self._clock.wall()
        releases = self._fleet_state.releases
        known = releases.known(order.service)
        current = self._releases_by_service.get(order.service)
        before = newest_release(
            None if current is None else current.saved,
            self._ledger.saved(order.service),
            known,
            wall,
            now,
        )
        order_age, age = order_ages(releases, order.service, before, wall, now)
        if before is not None and goes_on(order, before):
            release = continue_release(order, before, now, age, order_age)
            if current is not None:
                release.progress = current.progress
            return release
        if order.is_withdrawn:
            return None
        versions = other_versions(self._fleet_state, order.service, order.target)
        return begin_release(order, before, versions, now, wall, order_age)

    def _decide(self, release):
        saved = release.saved
        sums = self._read_sums()
        self._coverage.record(sums)
        outcomes = Outcomes.from_counts(
            sums.counts, saved.service, saved.target, saved.release
        )
        if release.progress is None:
            release.begin_progress()
        progress = release.progress
        ready = ready_versions(self._fleet_state, saved.service)
        old = set(ready) - {saved.target, *saved.excluded_versions}
        progress.target_upstreams = ready.count(saved.target)
        progress.old_upstreams = sum(version in old for version in ready)
        age = self._clock.now() - release.seen_at
        decision = self._limit_share(
            decide(saved, age, self._bounds, outcomes, progress)
        )
        before, release.decision = release.decision, decision
        if decision.state != ReleaseStatus.RUNNING:
            versions = other_versions(self._fleet_state, saved.service, saved.target)
            release.end(ReleaseStatus(decision.state), decision.reason, versions)
            log_step(release, self._clock.now())
        elif before is None or _is_step(before, decision):
            release.set_reason(decision.reason)
            log_step(release, self._clock.now())

    def _limit_share(self, decision):
        """Return a Decision that keeps the bound without sums of all routers."""
        share = min(decision.share, self._bounds.expose_share)
        if self._coverage.is_settled or decision.state != ReleaseStatus.RUNNING:
            return decision
        return structs.replace(decision, share=share)

    def _publish_due(self, release):
        """Publish the state if it has changed or others wait for it.

        Only the holder of the lease does, as the others follow its state.
        """
        now = self._clock.now()
        is_due = _is_due(release.published_at, now, HEARTBEAT_MS)
        if not self._lease.is_held or not (release.revised or is_due):
            return
        release.revised = False
        release.published_at = now
        self._revision += 1
        state = release.to_state(self._lease.offset, self._revision, now)
        self._fleet_state.apply(state)

    def _save_due(self, release):
        """Write what has changed; raise StoreUnavailable."""
        now = self._clock.now()
        era = store_era(self._fleet_state)
        if release.written_era >= max(0, era):
            if not (
                release.is_running and _is_due(release.saved_at, now, SAVE_INTERVAL_MS)
            ):
                return
            release.note_requests()
        if not self._ledger.is_read or self._ledger.era < era:
            self._ledger.read()
        if not self._lease.is_held:
            return
        saved = release.saved
        self._ledger.write(saved)
        if self._ledger.write_status(saved.service, saved.state, saved.target):
            self._counters.add(f"release.{saved.state}")
            log.info(
                "release status written",
                service=saved.service,
                target=saved.target,
                state=saved.state,
                era=self._ledger.era,
            )
        release.record_written(self._ledger.era, now)

    def _note_unavailable(self, order, error):
        self._ledger.forget()
        self._retry_at = self._clock.now() + STORE_RETRY_DELAY_MS
        self._counters.add("release.store_unavailable")
        log.warning("release not saved", service=order.service, reason=str(error))


def _is_due(last, now, interval):
    return last is None or now - last >= interval


def _is_step(before, decision):
    """Return whether a decision gives the target more or fewer requests."""
    return (before.share, before.upstreams) != (decision.share, decision.upstreams)
