"""Router membership, recorded in the log stream `members`."""

from random import Random

from mulberryhub.base.clock import Clock
from mulberryhub.base.counters import Counters
from mulberryhub.base.digest import rendezvous_score
from mulberryhub.base.green import sleep, spawn
from mulberryhub.base.logs import module_logger
from mulberryhub.external.log import LogUnavailable
from mulberryhub.external.vm_list import VmListUnavailable
from mulberryhub.replica.member_records import (
    MEMBERS_STREAM,
    Adopted,
    Joined,
    Left,
    Listed,
    Removed,
    SnapshotRequested,
    encode_record,
)
from mulberryhub.replica.member_stream import MemberStream

READ_WAIT_MS = 5_000
RETRY_DELAY_MS = 500
MAINTENANCE_INTERVAL_MS = 200
VM_LIST_INTERVAL_MS = 2_000
REMOVAL_DELAY_MS = 30_000
RANK_DELAY_MS = 1_000
APPEND_INTERVAL_MS = 2_000
LEAVE_TIMEOUT_MS = 5_000
ADOPTION_SPREAD_PER_MEMBER_MS = 4
SNAPSHOT_INTERVAL_MS = 600_000
SNAPSHOT_INTERVAL_RECORD_COUNT = 500
SNAPSHOT_TIMEOUT_MS = 20_000

log = module_logger("replica.membership")


class Membership:
    """Makes this router a member, tracks the members, and removes VMs that are gone.

    `fits_view(view)` is called repeatedly until it returns True, which means that this
    router uses and lends at most its shares under the view and will not exceed them.
    `vm_list` is a VmListClient; if it is None, no VM is removed. A VM is removed once
    it has been missing from the platform's VM list for `removal_delay` ms.
    `member_exchange` is a MemberExchange from which the members are fetched if the log
    is unavailable when the router starts.
    """

    __slots__ = (
        "router",
        "_log",
        "_vm_list",
        "_clock",
        "_counters",
        "_fits_view",
        "_removal_delay",
        "_stream",
        "_listeners",
        "_threads",
        "_due_by_action",
        "_next_list_read",
        "_absent_since_by_vm",
        "_present_since_by_vm",
        "_is_leaving",
        "_was_member",
        "_member_exchange",
        "_seed_members",
        "_random",
    )

    def __init__(
        self,
        router,
        log_client,
        vm_list=None,
        clock=None,
        counters=None,
        fits_view=lambda view: True,
        removal_delay=REMOVAL_DELAY_MS,
        member_exchange=None,
    ):
        self.router = router
        self._log = log_client
        self._vm_list = vm_list
        self._clock = clock or Clock()
        self._counters = counters or Counters()
        self._fits_view = fits_view
        self._removal_delay = removal_delay
        self._stream = MemberStream(log_client, self._clock)
        self._listeners = []
        self._threads = []
        self._due_by_action = {}
        self._next_list_read = 0
        self._absent_since_by_vm = {}
        self._present_since_by_vm = {}
        self._is_leaving = False
        self._was_member = False
        self._member_exchange = member_exchange
        self._seed_members = None
        self._random = Random(router.incarnation)

    def current(self):
        """Return the MembershipState, or None until they are known."""
        table = self._stream.table
        if table is None:
            return None
        if self._seed_members is not None and not self._stream.is_caught_up:
            return self._seed_members
        return table.members()

    def is_member(self):
        """Return whether this incarnation of the router is a member per the log."""
        table, router = self._stream.table, self.router
        if table is None:
            return False
        return table.find(router.vm, router.incarnation) is not None

    def on_change(self, listener):
        """Call `listener(members)` after each change.

        `members` is None if the members have become unknown, because records expired
        before they were read.
        """
        self._listeners.append(listener)

    def start(self):
        """Start green threads that read the stream and maintain the membership."""
        self._threads = [spawn(self._read_stream), spawn(self._maintain)]

    def stop(self):
        """Stop the green threads without leaving."""
        for thread in self._threads:
            thread.kill()

    def close(self):
        """Try to leave for at most LEAVE_TIMEOUT_MS, and stop the green threads."""
        if not self.leave(LEAVE_TIMEOUT_MS):
            log.warning("the log did not confirm that this router has left")
        self.stop()

    def leave(self, timeout):
        """Append a record that this router has left, and wait until it is read back.

        Call this only when nothing can use the shares of this router any more. Return
        False if the record was not read back within `timeout` ms; the shares then stay
        reserved for this router.
        """
        self._is_leaving = True
        deadline = self._clock.now() + timeout
        record = Left(self.router.vm, self.router.incarnation)
        while self.is_member():
            if self._clock.now() >= deadline:
                return False
            self._append_rate_limited("left", record)
            sleep(MAINTENANCE_INTERVAL_MS / 1000)
        return True

    def _read_stream(self):
        while True:
            try:
                changed = self._stream.read(READ_WAIT_MS)
            except LogUnavailable:
                self._counters.add("retry.members_read")
                self._fetch_seed_members()
                sleep(self._jittered(RETRY_DELAY_MS) / 1000)
                continue
            if changed or self._stream.table is None:
                self._notify_listeners()

    def _fetch_seed_members(self):
        """Fetch the members from a peer if the log has never been read to its end."""
        if (
            self._stream.is_caught_up
            or self._seed_members
            or self._member_exchange is None
        ):
            return
        self._seed_members = self._member_exchange.fetch_members(self._random)
        if self._seed_members is not None:
            log.warning("the log is unavailable; fetched the members from a peer")
            self._notify_listeners()

    def _notify_listeners(self):
        members = self.current()
        for listener in self._listeners:
            listener(members)

    def _maintain(self):
        while True:
            sleep(self._jittered(MAINTENANCE_INTERVAL_MS) / 1000)
            if self._stream.table is None:
                self._request_snapshot()
                continue
            self._due_by_action.pop("recover", None)
            if self._stream.is_caught_up and not self._is_leaving:
                self._join()
                self._adopt_newest_view()
                self._check_vm_list()
                self._write_snapshot_if_due()

    def _request_snapshot(self):
        """Request a snapshot; start with no members after SNAPSHOT_TIMEOUT_MS."""
        if not self._stream.is_caught_up:
            return
        now = self._clock.now()
        deadline = self._due_by_action.setdefault("recover", now + SNAPSHOT_TIMEOUT_MS)
        if now >= deadline:
            del self._due_by_action["recover"]
            self._stream.reset_to_empty()
            self._notify_listeners()
            return
        self._append_rate_limited("wanted", SnapshotRequested(self.router.vm))

    def _join(self):
        if self.is_member():
            self._was_member = True
            return
        if self._was_member:
            # Another router removed this one. Records about the earlier incarnation
            # must not affect the new one.
            self._was_member = False
            self.router.renew_incarnation()
        router = self.router
        record = Joined(
            router.vm, router.incarnation, router.data_centre, router.peer_address
        )
        if self._append_rate_limited("join", record):
            log.info(
                "joining as VM {} with incarnation {}", router.vm, router.incarnation
            )

    def _adopt_newest_view(self):
        table, router = self._stream.table, self.router
        member = table.find(router.vm, router.incarnation)
        if member is None:
            return
        view = table.views[-1]
        if not table.needs_adoption(member) or not self._fits_view(view):
            return
        spread = ADOPTION_SPREAD_PER_MEMBER_MS * len(table.members_by_vm)
        sleep(self._random.uniform(0, spread) / 1000)
        record = Adopted(router.vm, router.incarnation, view.offset)
        self._append_rate_limited(f"adopt {view.offset}", record)

    def _check_vm_list(self):
        now = self._clock.now()
        if self._vm_list is None or now < self._next_list_read:
            return
        self._next_list_read = now + VM_LIST_INTERVAL_MS
        try:
            listed = {entry.id for entry in self._vm_list.read()}
        except VmListUnavailable:
            self._counters.add("retry.vm_list")
            return
        members = list(self._stream.table.members_by_vm.values())
        absent = [
            member
            for member in members
            if member.seen_in_vm_list and member.vm not in listed
        ]
        if 2 * len(absent) > len(members):
            # If more than half of the members are absent, the list is assumed faulty.
            self._counters.add("refusal.vm_list_implausible")
            self._absent_since_by_vm.clear()
            return
        for member in members:
            self._check_member(member, member.vm in listed, now)

    def _check_member(self, member, is_listed, now):
        since_by_vm, opposite_by_vm = (
            self._present_since_by_vm,
            self._absent_since_by_vm,
        )
        if not is_listed:
            since_by_vm, opposite_by_vm = opposite_by_vm, since_by_vm
        opposite_by_vm.pop(member.vm, None)
        age = now - since_by_vm.setdefault(member.vm, now)
        age -= self._rank(member.vm) * RANK_DELAY_MS
        if is_listed and not member.seen_in_vm_list and age >= 0:
            record = Listed(member.vm, member.incarnation)
            self._append_rate_limited(f"listed {member.vm}", record)
        elif not is_listed and member.seen_in_vm_list and age >= self._removal_delay:
            record = Removed(member.vm, member.incarnation, self.router.vm)
            if self._append_rate_limited(f"gone {member.vm}", record):
                log.warning(
                    "VM {} is missing from the platform's list; removing the member",
                    member.vm,
                )

    def _write_snapshot_if_due(self):
        stream = self._stream
        if not self.is_member():
            return
        now = self._clock.now()
        rank_delay = self._rank("snapshot") * RANK_DELAY_MS
        if stream.snapshot_read_at is None:
            stream.snapshot_read_at = now
        due = stream.snapshot_read_at + SNAPSHOT_INTERVAL_MS + rank_delay
        if stream.snapshot_requested_at is not None:
            due = min(due, stream.snapshot_requested_at + rank_delay)
        record_count = stream.table.last_offset - stream.snapshot_offset
        is_long = record_count >= SNAPSHOT_INTERVAL_RECORD_COUNT * (
            1 + self._rank("snapshot")
        )
        if now >= due or is_long:
            self._append_rate_limited("snapshot", stream.table.snapshot())

    def _rank(self, subject):
        """Return how many members rank before this router for `subject`.

        All routers compute the same order for a subject. Each waits RANK_DELAY_MS per
        rank, so that usually only the first one appends the record.
        """
        seed = subject.encode()
        members_by_vm = self._stream.table.members_by_vm
        own_score = rendezvous_score(seed, self.router.vm.encode())
        scores = [rendezvous_score(seed, vm.encode()) for vm in members_by_vm]
        return sum(score > own_score for score in scores)

    def _append_rate_limited(self, action, record):
        """Append `record` unless `action` was tried within about APPEND_INTERVAL_MS.

        Return whether the append was tried. An append may take effect although its
        answer is lost, so callers must rely only on the record being read back.
        """
        now = self._clock.now()
        if now < self._due_by_action.get(action, now):
            return False
        self._remove_expired_actions(now)
        self._due_by_action[action] = now + self._jittered(APPEND_INTERVAL_MS)
        try:
            self._log.append(MEMBERS_STREAM, [encode_record(record)])
        except LogUnavailable:
            self._counters.add("retry.members_append")
        return True

    def _remove_expired_actions(self, now):
        """Forget elapsed intervals; keep the deadline of `_request_snapshot`."""
        remaining = {
            action: due
            for action, due in self._due_by_action.items()
            if due > now or action == "recover"
        }
        self._due_by_action = remaining

    def _jittered(self, duration):
        return duration * self._random.uniform(0.75, 1.25)
