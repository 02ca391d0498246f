"""Follows one topic of the platform's store and applies what it says."""

from mulberryhub.base.green import sleep
from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_task
from mulberryhub.fleet.beliefs import UNKNOWN
from mulberryhub.fleet.store import HistoryLost, StoreUnavailable

FIRST_PAUSE = 200  # ms after a failed call
LONGEST_PAUSE = 1_000  # ms
IDLE_PAUSE = 50  # ms between looks whether this router is to read

log = module_logger(__name__)


def _ignore(*_):
    """Do nothing: records of most topics only replace one another."""


class TopicPlan:
    """How a topic is read: `wait` ms at the store, `pause` ms between reads.

    A call that the store never answers is given up a while after `wait`, and until then
    nothing shows that it is lost: `wait` bounds how late a change can be.
    `apply(entry)` takes one entry, `reconcile(listing)` what a whole listing lacks.
    `answered()` is called for each answer of the store, before what it says is applied,
    `failed(asked_at)` for each call without one. `is_settled()` tells whether all that
    was read is believed; what is held back must be read by others too.
    """

    __slots__ = (
        "topic",
        "wait",
        "pause",
        "apply",
        "reconcile",
        "answered",
        "failed",
        "is_settled",
    )

    def __init__(
        self,
        topic,
        apply,
        *,
        wait,
        pause,
        reconcile=_ignore,
        answered=_ignore,
        failed=_ignore,
        is_settled=lambda: True,
    ):
        self.topic = topic
        self.wait = wait
        self.pause = pause
        self.apply = apply
        self.reconcile = reconcile
        self.answered = answered
        self.failed = failed
        self.is_settled = is_settled


class TopicFollower:
    """Reads the topic of `plan` while `should_read()`."""

    __slots__ = (
        "failing_since",
        "_answered_at",
        "_asked_at",
        "_position",
        "_plan",
        "_store",
        "_beliefs",
        "_should_read",
        "_clock",
        "_counters",
    )

    def __init__(self, plan, store, beliefs, should_read, clock, counters):
        self.failing_since = None
        self._answered_at = None
        self._asked_at = None
        self._position = UNKNOWN
        self._plan = plan
        self._store = store
        self._beliefs = beliefs
        self._should_read = should_read
        self._clock = clock
        self._counters = counters

    @property
    def topic(self):
        """Return the topic that is read."""
        return self._plan.topic

    def start(self):
        """Follow in the background."""
        spawn_task(self._run)

    def pending_for(self):
        """Return the ms for which the call to the store has lasted, 0 without one."""
        return 0 if self._asked_at is None else self._clock.now() - self._asked_at

    def step(self):
        """Read once and apply what came; raise StoreUnavailable."""
        plan = self._plan
        believed = self._beliefs.position_by_topic[plan.topic]
        position = max(self._position, believed)
        self._asked_at = self._clock.now()
        as_of = self._list() if position == UNKNOWN else self._read(position)
        self._asked_at = None
        reached = self._position if plan.is_settled() else UNKNOWN
        self._beliefs.read_up_to(plan.topic, reached, as_of)

    def has_answer(self, max_age):
        """Tell whether the store answered a read within the last `max_age` ms."""
        if self._answered_at is None:
            return False
        return self._clock.now() - self._answered_at <= max_age

    def _read(self, position):
        """Read from `position`; return the ms at which nothing newer was there."""
        plan = self._plan
        # The first answer after a failure is not to be waited for.
        wait = plan.wait if self.failing_since is None else 0
        try:
            batch = self._store.read(plan.topic, position, wait)
        except HistoryLost as lost:
            log.info("history lost", topic=plan.topic, first=lost.first)
            return self._list()
        plan.answered()
        self._apply(batch.entries)
        self._position = batch.end
        has_waited = not batch.entries and self.pending_for() >= wait
        return self._asked_at + (wait if has_waited else 0)

    def _list(self):
        """Read the whole topic; return the ms at which nothing newer was there."""
        listing = self._store.newest(self._plan.topic)
        self._plan.answered()
        self._apply(listing.entries)
        self._plan.reconcile(listing)
        self._position = listing.end
        return self._asked_at

    def _apply(self, entries):
        for entry in entries:
            try:
                self._plan.apply(entry)
            except Exception:
                # One entry must not keep back those after it, nor end this task.
                self._counters.add("store.entry_failed")
                log.exception(
                    "entry not applied",
                    topic=self._plan.topic,
                    key=entry.key,
                    offset=entry.offset,
                )

    def read_once(self):
        """Read once and note whether the store answered; return whether it did."""
        try:
            self.step()
        except StoreUnavailable as error:
            self._note_failure(error)
            return False
        self._note_success()
        return True

    def _run(self):
        pause = FIRST_PAUSE
        while True:
            if not self._should_read():
                self.failing_since = None
                sleep(IDLE_PAUSE / 1000)
            elif self.read_once():
                pause = FIRST_PAUSE
                sleep(self._plan.pause / 1000)
            else:
                sleep(pause / 1000)
                pause = min(pause * 2, LONGEST_PAUSE)

    def _note_failure(self, error):
        self._counters.add("store.unavailable")
        lasted = self.pending_for()
        self._plan.failed(self._asked_at)
        self._asked_at = None
        if self.failing_since is None:
            self.failing_since = self._clock.now()
            log.warning(
                "store lost",
                topic=self._plan.topic,
                reason=str(error),
                call_ms=lasted,
                position=self._position,
            )

    def _note_success(self):
        self._answered_at = self._clock.now()
        if self.failing_since is not None:
            lasted = self._clock.now() - self.failing_since
            log.info("store regained", topic=self._plan.topic, after_ms=lasted)
            self.failing_since = None
