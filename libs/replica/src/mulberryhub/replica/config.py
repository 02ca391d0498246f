"""The replicated configuration of this router, kept up by reading the log."""

from random import uniform
from uuid import uuid4

import msgspec

from mulberryhub.base.errors import Code, HubError, Ran
from mulberryhub.base.green import Event, sleep, spawn
from mulberryhub.base.logs import module_logger
from mulberryhub.config.validation import validate_inventory
from mulberryhub.platform.log import LogUnavailable, OffsetExpired
from mulberryhub.replica.records import (
    STREAM,
    AddKey,
    Outcome,
    SetInventory,
    encode,
)
from mulberryhub.replica.replay import Replayer

LONG_POLL = 2_000  # ms
RETRY_DELAY = 200  # ms
RETRY_DELAY_LIMIT = 1_000  # ms
COMMIT_TIMEOUT = 10_000  # ms
READ_BACK_TIMEOUT = 1_000  # ms

log = module_logger(__name__)


class ConfigReplica:
    """What is in force on this router, and the way to change it everywhere."""

    __slots__ = (
        "_log",
        "_clock",
        "_counters",
        "_replayer",
        "_view",
        "_is_caught_up",
        "_is_log_readable",
        "_outcomes_by_change",
        "_failures",
        "_commit_timeout",
    )

    def __init__(self, log_client, clock, counters, commit_timeout=COMMIT_TIMEOUT):
        self._log = log_client
        self._clock = clock
        self._counters = counters
        self._replayer = Replayer()
        self._view = None
        self._is_caught_up = False
        self._is_log_readable = False
        self._outcomes_by_change = {}
        self._failures = 0
        self._commit_timeout = commit_timeout

    def start(self):
        """Start to read the log on a green thread."""
        spawn(self._tail)

    def current(self):
        """Return the ConfigView in force, or None until one is known."""
        return self._view

    @property
    def offset(self):
        """Return the offset of the last accepted change, -1 where there is none."""
        return self._replayer.state.offset

    @property
    def is_caught_up(self):
        """Return whether the state was known up to the log's end at least once."""
        return self._is_caught_up

    def apply(self, base, author, inventory_bytes):
        """Set the inventory everywhere and return the offset of the change.

        `base` is the offset that the author saw. Raise HubError where the
        document is invalid, something was set since, or the log is unavailable.
        """
        inventory, findings = validate_inventory(inventory_bytes)
        if inventory is None:
            raise HubError(Code.INVALID_INVENTORY, "; ".join(map(str, findings.errors)))
        document = msgspec.Raw(msgspec.json.encode(inventory))
        return self._commit(SetInventory(uuid4().hex, author, base, document))

    def add_key(self, base, author, key_hash, workspace):
        """Add a caller's key everywhere and return the offset of the change."""
        view = self._view
        if view is None or workspace not in view.workspaces_by_id:
            raise HubError(
                Code.BAD_REQUEST, f"the workspace {workspace!r} is not known"
            )
        if key_hash in view.withdrawn_hashes:
            raise HubError(Code.WITHDRAWN_KEY, "the key has been withdrawn")
        if key_hash in view.keys_by_hash:
            raise HubError(Code.DUPLICATE_KEY, "the key is already known")
        return self._commit(AddKey(uuid4().hex, author, base, key_hash, workspace))

    def _commit(self, record):
        """Append `record` and return its offset once it was read back."""
        self._require_known()
        if self._replayer.state.is_stale(record.base):
            raise self._stale()
        outcome = Event()
        self._outcomes_by_change[record.change] = outcome
        try:
            replayed = self._append_until_read(record, outcome)
        finally:
            del self._outcomes_by_change[record.change]
        if replayed.outcome is Outcome.STALE:
            raise self._stale()
        if replayed.outcome is not Outcome.ACCEPTED:
            raise HubError(Code.BAD_REQUEST, "the change was refused on replay")
        return replayed.offset

    def _append_until_read(self, record, outcome):
        """Append until the record comes back in the log; repeats are harmless."""
        deadline = self._clock.now() + self._commit_timeout
        is_appended = False
        while self._clock.now() < deadline:
            if not is_appended:
                is_appended = self._try_append(record)
            replayed = outcome.wait(READ_BACK_TIMEOUT / 1000)
            if replayed is not None:
                return replayed
        raise HubError(
            Code.LOG_UNAVAILABLE,
            "the log does not answer; the change may still come into force",
            ran=Ran.UNKNOWN,
            retry_after=COMMIT_TIMEOUT,
        )

    def _try_append(self, record):
        try:
            self._log.append(STREAM, [encode(record)])
        except LogUnavailable:
            self._counters.add("retry.config_append")
            return False
        return True

    def _require_known(self):
        if not self._is_caught_up:
            raise HubError(
                Code.NOT_READY,
                "the configuration in force is not known yet",
                retry_after=RETRY_DELAY_LIMIT,
            )

    def _stale(self):
        return HubError(
            Code.STALE_BASE,
            f"the configuration has changed; the newest offset is {self.offset}",
        )

    def _tail(self):
        """Read the log for as long as the router runs."""
        while True:
            start = self._replayer.start
            wait = LONG_POLL if self._is_caught_up else 0
            try:
                page = self._log.read(STREAM, start, wait=wait)
            except OffsetExpired as expired:
                self._skip_to(expired.oldest)
            except LogUnavailable as error:
                self._note_outage(error)
                sleep(self._retry_delay())
            else:
                self._take_page(page)

    def _take_page(self, page):
        self._note_answer()
        for record in page.records:
            replayed = self._replayer.take(record.offset, record.payload)
            self._settle(replayed)
        if self._replayer.start >= page.end and not self._replayer.has_gap:
            self._is_caught_up = True
        elif not page.records:
            sleep(RETRY_DELAY / 1000)
        self._publish()

    def _skip_to(self, oldest):
        log.warning("log records before offset {} have expired", oldest)
        self._counters.add("config.gap")
        self._replayer.skip_to(oldest)

    def _settle(self, replayed):
        """Count outcomes and wake those who wait for their change."""
        for item in replayed:
            if item.outcome is Outcome.IGNORED:
                continue
            self._counters.add(f"config.{item.outcome.name.lower()}")
            waiting = self._outcomes_by_change.get(item.record.change)
            if waiting is not None and not waiting.ready():
                waiting.send(item)

    def _publish(self):
        """Put the state in force where it has changed."""
        if not self._is_caught_up:
            return
        state = self._replayer.state
        view = self._view
        if view is not None and view.offset == state.offset:
            return
        self._view = state.view()
        if self._view is not None:
            log.info("configuration in force at offset {}", self._view.offset)

    def _note_outage(self, error):
        self._counters.add("retry.config_read")
        self._failures += 1
        if self._is_log_readable or self._failures == 1:
            log.warning("the log is unavailable: {}", error)
        self._is_log_readable = False

    def _note_answer(self):
        if not self._is_log_readable:
            log.info("the log is readable")
        self._is_log_readable = True
        self._failures = 0

    def _retry_delay(self):
        """Return a pause in s that grows with the failures, with jitter."""
        limit = min(RETRY_DELAY * 2**self._failures, RETRY_DELAY_LIMIT)
        return uniform(limit / 2, limit) / 1000
