"""Membership of the routers, kept in the log's stream `members`."""

from random import Random

from mulberryhub.base.clock import Clock
from mulberryhub.base.counters import Counters
from mulberryhub.base.digest import placement_score
from mulberryhub.base.green import sleep, spawn
from mulberryhub.base.logs import module_logger
from mulberryhub.external.log import LogUnavailable
from mulberryhub.external.vm_list import VmListUnavailable
from mulberryhub.replica.member_records import (
    STREAM,
    Adopted,
    Gone,
    Joined,
    Left,
    Listed,
    SnapshotWanted,
    encode_record,
)
from mulberryhub.replica.member_stream import MemberStream

READ_WAIT = 5_000  # ms
RETRY_DELAY = 500  # ms
TICK = 200  # ms
LIST_INTERVAL = 2_000  # ms
SETTLE_TIME = 30_000  # ms
RANK_DELAY = 1_000  # ms
APPEND_INTERVAL = 2_000  # ms
LEAVE_TIMEOUT = 5_000  # ms
ADOPT_SPREAD = 4  # ms per member
SNAPSHOT_INTERVAL = 600_000  # ms
SNAPSHOT_RECORDS = 500  # records
SNAPSHOT_TIMEOUT = 20_000  # ms

log = module_logger("replica.membership")


class Membership:
    """Joins the routers, follows who they are, and reports VMs that are gone.

    `release(view)` is called until it returns True: the shares of this router
    then fit the view and stay so. `vm_list` may be None; no VM is then taken
    for gone. `seeds` are asked for the members while the log is out at the start.
    """

    __slots__ = (
        "router",
        "_log",
        "_vm_list",
        "_clock",
        "_counters",
        "_release",
        "_settle_time",
        "_stream",
        "_listeners",
        "_threads",
        "_due_by_action",
        "_list_due",
        "_absent_since_by_vm",
        "_present_since_by_vm",
        "_leaving",
        "_was_member",
        "_seeds",
        "_seeded",
        "_random",
    )

    def __init__(
        self,
        router,
        log_client,
        vm_list=None,
        clock=None,
        counters=None,
        release=lambda view: True,
        settle_time=SETTLE_TIME,
        seeds=None,
    ):
        self.router = router
        self._log = log_client
        self._vm_list = vm_list
        self._clock = clock or Clock()
        self._counters = counters or Counters()
        self._release = release
        self._settle_time = settle_time
        self._stream = MemberStream(log_client)
        self._listeners = []
        self._threads = []
        self._due_by_action = {}
        self._list_due = 0
        self._absent_since_by_vm = {}
        self._present_since_by_vm = {}
        self._leaving = False
        self._was_member = False
        self._seeds = seeds
        self._seeded = None
        self._random = Random(router.incarnation)

    def current(self):
        """Return the Members, or None until they are known."""
        table = self._stream.table
        if table is None:
            return None
        if self._seeded is not None and not self._stream.caught_up:
            return self._seeded
        return table.members()

    def is_member(self):
        """Tell whether the log shows this run of the router as a member."""
        table, router = self._stream.table, self.router
        if table is None:
            return False
        return table.find(router.vm, router.incarnation) is not None

    def on_change(self, listener):
        """Call `listener(members)` after each change; None when unknown again."""
        self._listeners.append(listener)

    def start(self):
        """Join and follow the stream on green threads."""
        self._threads = [spawn(self._follow), spawn(self._maintain)]

    def stop(self):
        """Stop following, without leaving."""
        for thread in self._threads:
            thread.kill()

    def close(self):
        """Leave, when the log allows it soon, and stop following."""
        if not self.leave(LEAVE_TIMEOUT):
            log.warning("the log did not confirm that this router has left")
        self.stop()

    def leave(self, timeout):
        """Say in the log that this router holds nothing any more.

        Call it once nothing can be used under its shares. Return False when the
        log did not confirm it within `timeout` ms; the shares then stay reserved.
        """
        self._leaving = True
        deadline = self._clock.now() + timeout
        record = Left(self.router.vm, self.router.incarnation)
        while self.is_member():
            if self._clock.now() >= deadline:
                return False
            self._append_soon("left", record)
            sleep(TICK / 1000)
        return True

    def _follow(self):
        while True:
            try:
                changed = self._stream.read(READ_WAIT)
            except LogUnavailable:
                self._counters.add("retry.members_read")
                self._ask_seeds()
                sleep(self._jittered(RETRY_DELAY) / 1000)
                continue
            if changed or self._stream.table is None:
                self._notify()

    def _ask_seeds(self):
        """Learn the members from a peer when the log was out from the start."""
        if self._stream.caught_up or self._seeded or self._seeds is None:
            return
        self._seeded = self._seeds.ask(self._random)
        if self._seeded is not None:
            log.warning("the log is out; a peer told the members")
            self._notify()

    def _notify(self):
        members = self.current()
        for listener in self._listeners:
            listener(members)

    def _maintain(self):
        while True:
            sleep(self._jittered(TICK) / 1000)
            if self._stream.table is None:
                self._recover()
                continue
            self._due_by_action.pop("recover", None)
            if self._stream.caught_up and not self._leaving:
                self._join()
                self._adopt()
                self._watch_list()
                self._write_snapshot()

    def _recover(self):
        """Ask the others for a snapshot; begin with no members when none comes."""
        if not self._stream.caught_up:
            return
        now = self._clock.now()
        given_up = self._due_by_action.setdefault("recover", now + SNAPSHOT_TIMEOUT)
        if now >= given_up:
            del self._due_by_action["recover"]
            self._stream.start_afresh()
            self._notify()
            return
        self._append_soon("wanted", SnapshotWanted(self.router.vm))

    def _join(self):
        if self.is_member():
            self._was_member = True
            return
        if self._was_member:
            # Taken for gone: records about the earlier run must not end this one.
            self._was_member = False
            self.router.renew()
        router = self.router
        record = Joined(
            router.vm, router.incarnation, router.data_centre, router.peer_address
        )
        if self._append_soon("join", record):
            log.info("joining as {} run {}", router.vm, router.incarnation)

    def _adopt(self):
        table, router = self._stream.table, self.router
        member = table.find(router.vm, router.incarnation)
        if member is None:
            return
        view = table.views[-1]
        if not table.lacks_adoption(member) or not self._release(view):
            return
        spread = ADOPT_SPREAD * len(table.members_by_vm)
        sleep(self._random.uniform(0, spread) / 1000)
        record = Adopted(router.vm, router.incarnation, view.number)
        self._append_soon(f"adopt {view.number}", record)

    def _watch_list(self):
        now = self._clock.now()
        if self._vm_list is None or now < self._list_due:
            return
        self._list_due = now + LIST_INTERVAL
        try:
            listed = {entry.id for entry in self._vm_list.read()}
        except VmListUnavailable:
            self._counters.add("retry.vm_list")
            return
        members = list(self._stream.table.members_by_vm.values())
        absent = [
            member for member in members if member.listed and member.vm not in listed
        ]
        if 2 * len(absent) > len(members):
            # A list that drops most VMs at once is taken for a fault of the list.
            self._counters.add("refusal.vm_list_implausible")
            self._absent_since_by_vm.clear()
            return
        for member in members:
            self._watch_member(member, member.vm in listed, now)

    def _watch_member(self, member, is_listed, now):
        seen, other = self._present_since_by_vm, self._absent_since_by_vm
        if not is_listed:
            seen, other = other, seen
        other.pop(member.vm, None)
        age = now - seen.setdefault(member.vm, now)
        age -= self._rank(member.vm) * RANK_DELAY
        if is_listed and not member.listed and age >= 0:
            record = Listed(member.vm, member.incarnation)
            self._append_soon(f"listed {member.vm}", record)
        elif not is_listed and member.listed and age >= self._settle_time:
            record = Gone(member.vm, member.incarnation, self.router.vm)
            if self._append_soon(f"gone {member.vm}", record):
                log.warning("VM {} is gone from the platform's list", member.vm)

    def _write_snapshot(self):
        stream = self._stream
        if not self.is_member():
            return
        wall = self._clock.wall()
        rank_delay = self._rank("snapshot") * RANK_DELAY
        if stream.snapshot_time is None:
            stream.snapshot_time = wall
        due = stream.snapshot_time + SNAPSHOT_INTERVAL + rank_delay
        if stream.wanted_time is not None:
            due = min(due, stream.wanted_time + rank_delay)
        records = stream.table.through - stream.snapshot_offset
        is_long = records >= SNAPSHOT_RECORDS * (1 + self._rank("snapshot"))
        if wall >= due or is_long:
            self._append_soon("snapshot", stream.table.snapshot())

    def _rank(self, subject):
        """Return how many members go before this router in a duty on `subject`."""
        seed = subject.encode()
        others = self._stream.table.members_by_vm
        mine = placement_score(seed, self.router.vm.encode())
        scores = [placement_score(seed, vm.encode()) for vm in others]
        return sum(score > mine for score in scores)

    def _append_soon(self, action, record):
        """Append `record` unless the same was tried lately; return True if tried.

        An answer may be lost after the append has taken effect, so what counts is
        what is read back.
        """
        now = self._clock.now()
        if now < self._due_by_action.get(action, now):
            return False
        self._forget_past_actions(now)
        self._due_by_action[action] = now + self._jittered(APPEND_INTERVAL)
        try:
            self._log.append(STREAM, [encode_record(record)])
        except LogUnavailable:
            self._counters.add("retry.members_append")
        return True

    def _forget_past_actions(self, now):
        kept = {
            action: due
            for action, due in self._due_by_action.items()
            if due > now or action == "recover"
        }
        self._due_by_action = kept

    def _jittered(self, duration):
        return duration * self._random.uniform(0.75, 1.25)
