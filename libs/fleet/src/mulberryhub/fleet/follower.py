"""Follows one topic of the platform's store and applies its entries."""

from mulberryhub.base.green import sleep
from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_service
from mulberryhub.fleet.state import UNKNOWN_POSITION
from mulberryhub.fleet.store import (
    HistoryLost,
    StoreReverted,
    StoreUnavailable,
    era_of,
    offset_of,
)

INITIAL_RETRY_DELAY_MS = 200  # after the first failed call
MAX_RETRY_DELAY_MS = 1_000  # after repeated failed calls
IDLE_CHECK_INTERVAL_MS = 50  # between checks of `should_read()`

log = module_logger(__name__)


def _no_op(*_):
    """Do nothing: records of most topics only replace older ones of the same key."""


class TopicPlan:
    """How a topic is read: long poll of `wait` ms, and `pause` ms between reads.

    A call without an answer is abandoned some time after `wait`. A lost call cannot be
    detected earlier, so `wait` limits how late a change can arrive. `apply(entry)`
    applies one entry, `on_listing(listing)` removes what a complete listing lacks.
    `on_answer()` is called for each answer of the store before it is applied,
    `on_failure(called_at)` for each failed call, and `on_reverted()` before the topic
    is read anew because the store came back from an older copy. `is_fully_applied()`
    returns whether everything that was read has been applied; if not, other routers
    must read the delayed entries too.
    """

    __slots__ = (
        "topic",
        "wait",
        "pause",
        "apply",
        "on_listing",
        "on_answer",
        "on_failure",
        "on_reverted",
        "is_fully_applied",
    )

    def __init__(
        self,
        topic,
        apply,
        *,
        wait,
        pause,
        on_listing=_no_op,
        on_answer=_no_op,
        on_failure=_no_op,
        on_reverted=_no_op,
        is_fully_applied=lambda: True,
    ):
        self.topic = topic
        self.wait = wait
        self.pause = pause
        self.apply = apply
        self.on_listing = on_listing
        self.on_answer = on_answer
        self.on_failure = on_failure
        self.on_reverted = on_reverted
        self.is_fully_applied = is_fully_applied


class TopicFollower:
    """Reads the topic of `plan` while `should_read()` returns true."""

    __slots__ = (
        "failing_since",
        "_answered_at",
        "_call_started_at",
        "_position",
        "_plan",
        "_store",
        "_fleet_state",
        "_should_read",
        "_clock",
        "_counters",
    )

    def __init__(self, plan, store, fleet_state, should_read, clock, counters):
        self.failing_since = None
        self._answered_at = None
        self._call_started_at = None
        self._position = UNKNOWN_POSITION
        self._plan = plan
        self._store = store
        self._fleet_state = fleet_state
        self._should_read = should_read
        self._clock = clock
        self._counters = counters

    @property
    def topic(self):
        """Return the topic that is read."""
        return self._plan.topic

    def start(self):
        """Start following in the background."""
        spawn_service(self._run)

    def call_duration(self):
        """Return the duration in ms of the call in progress, or 0 without one."""
        return (
            0
            if self._call_started_at is None
            else self._clock.now() - self._call_started_at
        )

    def step(self):
        """Read once and apply the answer; raise StoreUnavailable."""
        plan = self._plan
        known_position = self._fleet_state.position_by_topic[plan.topic]
        position = max(self._position, known_position)
        self._call_started_at = self._clock.now()
        as_of = (
            self._read_all()
            if position == UNKNOWN_POSITION
            else self._read_from(position)
        )
        self._call_started_at = None
        applied_position = (
            self._position if plan.is_fully_applied() else UNKNOWN_POSITION
        )
        self._fleet_state.mark_read_up_to(plan.topic, applied_position, as_of)

    def has_answer(self, max_age):
        """Return whether the store answered a read within the last `max_age` ms."""
        if self._answered_at is None:
            return False
        return self._clock.now() - self._answered_at <= max_age

    def _read_from(self, position):
        """Read from `position`; return the ms as of which nothing newer existed."""
        plan = self._plan
        # No long poll after a failure: any answer shows that the store is back.
        wait = plan.wait if self.failing_since is None else 0
        try:
            batch = self._store.read(plan.topic, position, wait)
        except StoreReverted as reverted:
            return self._read_reverted(position, reverted.first)
        except HistoryLost as lost:
            log.info("history lost", topic=plan.topic, first=lost.first)
            return self._read_all()
        plan.on_answer()
        self._apply(batch.entries)
        self._position = batch.end
        waited_in_full = not batch.entries and self.call_duration() >= wait
        return self._call_started_at + (wait if waited_in_full else 0)

    def _read_reverted(self, position, first):
        """Read the whole topic of a store that came back from an older copy."""
        self._plan.on_reverted()
        as_of = self._read_all()
        self._counters.add("store.reverted")
        log.warning(
            "store reverted",
            topic=self._plan.topic,
            era_before=era_of(position),
            era=era_of(first),
            offset_before=offset_of(position),
            offset=offset_of(self._position),
        )
        return as_of

    def _read_all(self):
        """Read the whole topic; return the ms as of which nothing newer existed."""
        listing = self._store.newest(self._plan.topic)
        self._plan.on_answer()
        self._apply(listing.entries)
        self._plan.on_listing(listing)
        self._position = listing.end
        return self._call_started_at

    def _apply(self, entries):
        for entry in entries:
            try:
                self._plan.apply(entry)
            except Exception:
                # A bad entry must neither block later entries nor end this task.
                self._counters.add("store.entry_failed")
                log.exception(
                    "entry not applied",
                    topic=self._plan.topic,
                    key=entry.key,
                    offset=entry.offset,
                )

    def read_once(self):
        """Read once and record success or failure; return whether it succeeded."""
        try:
            self.step()
        except StoreUnavailable as error:
            self._note_failure(error)
            return False
        self._note_success()
        return True

    def _run(self):
        retry_delay = INITIAL_RETRY_DELAY_MS
        while True:
            if not self._should_read():
                self.failing_since = None
                sleep(IDLE_CHECK_INTERVAL_MS / 1000)
            elif self.read_once():
                retry_delay = INITIAL_RETRY_DELAY_MS
                sleep(self._plan.pause / 1000)
            else:
                sleep(retry_delay / 1000)
                retry_delay = min(retry_delay * 2, MAX_RETRY_DELAY_MS)

    def _note_failure(self, error):
        self._counters.add("store.unavailable")
        duration = self.call_duration()
        self._plan.on_failure(self._call_started_at)
        self._call_started_at = None
        if self.failing_since is None:
            self.failing_since = self._clock.now()
            log.warning(
                "store lost",
                topic=self._plan.topic,
                reason=str(error),
                call_ms=duration,
                position=self._position,
            )

    def _note_success(self):
        self._answered_at = self._clock.now()
        if self.failing_since is not None:
            duration = self._clock.now() - self.failing_since
            log.info("store regained", topic=self._plan.topic, after_ms=duration)
            self.failing_since = None
