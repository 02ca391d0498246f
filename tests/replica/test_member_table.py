from hypothesis import given, settings, strategies as st

from mulberryhub.replica.member_records import (
    Adopted,
    Gone,
    Joined,
    Left,
    decode_record,
    encode_record,
)
from mulberryhub.replica.member_table import MemberTable

VMS = "abcd"
ACTIONS = ["start", "read", "catch_up", "adopt", "leave", "crash", "gone"]
STEPS = st.lists(
    st.tuples(
        st.sampled_from(ACTIONS),
        st.sampled_from(VMS),
    ),
    min_size=20,
    max_size=120,
)


def usable_share(table, vm, incarnation):
    """Return the share of a whole that a router may use, as limits compute it."""
    if table.find(vm, incarnation) is None:
        return 0.0
    return min(
        1 / len(view.vms) if vm in view.vms else 0.0 for view in table.members().views
    )


class Fleet:
    """Routers that replay one log, each at its own pace."""

    def __init__(self, share=usable_share):
        self.records = []
        self.tables_by_vm = {}
        self.runs_by_vm = {}
        self.crashed_shares_by_vm = {}
        self.share = share

    def append(self, record):
        self.records.append(decode_record(encode_record(record)))

    def start(self, vm):
        if vm in self.tables_by_vm:
            return
        self.crashed_shares_by_vm.pop(vm, None)
        self.runs_by_vm[vm] = f"{vm}{len(self.records)}"
        self.tables_by_vm[vm] = MemberTable()
        self.append(Joined(vm, self.runs_by_vm[vm], "dc", "address"))

    def read(self, vm, count=1):
        table = self.tables_by_vm.get(vm)
        if table is None:
            return
        for _ in range(count):
            offset = table.through + 1
            if offset < len(self.records):
                table.apply(offset, self.records[offset])

    def catch_up(self, vm):
        self.read(vm, len(self.records))

    def adopt(self, vm):
        table = self.tables_by_vm.get(vm)
        member = table and table.find(vm, self.runs_by_vm[vm])
        if member and table.lacks_adoption(member):
            self.append(Adopted(vm, self.runs_by_vm[vm], table.views[-1].number))

    def leave(self, vm):
        if vm in self.tables_by_vm:
            del self.tables_by_vm[vm]
            self.append(Left(vm, self.runs_by_vm[vm]))

    def crash(self, vm):
        table = self.tables_by_vm.pop(vm, None)
        if table:
            share = self.share(table, vm, self.runs_by_vm[vm])
            self.crashed_shares_by_vm[vm] = share

    def gone(self, vm):
        if self.crashed_shares_by_vm.pop(vm, None) is not None:
            self.append(Gone(vm, self.runs_by_vm[vm], "x"))

    def total(self):
        live = sum(
            self.share(table, vm, self.runs_by_vm[vm])
            for vm, table in self.tables_by_vm.items()
        )
        return live + sum(self.crashed_shares_by_vm.values())


def largest_total(steps, share=usable_share):
    fleet, largest = Fleet(share), 0.0
    for action, vm in steps:
        getattr(fleet, action)(vm)
        largest = max(largest, fleet.total())
    return fleet, largest


@settings(derandomize=True, deadline=None, max_examples=600)
@given(STEPS)
def test_shares_never_exceed_the_whole(steps):
    assert largest_total(steps)[1] <= 1 + 1e-9


@settings(derandomize=True, deadline=None, max_examples=100)
@given(STEPS)
def test_all_agree_on_the_newest_view_in_the_end(steps):
    fleet, _ = largest_total(steps)
    for vm in list(fleet.crashed_shares_by_vm):
        fleet.gone(vm)
    for _ in range(3):
        for vm in list(fleet.tables_by_vm):
            fleet.catch_up(vm)
            fleet.adopt(vm)
    for vm, table in fleet.tables_by_vm.items():
        fleet.catch_up(vm)
        assert [view.vms for view in table.views] == [tuple(sorted(fleet.tables_by_vm))]


def test_who_uses_the_newest_view_at_once_exceeds_the_whole():
    def hasty(table, vm, incarnation):
        newest = table.members().newest
        return 1 / len(newest.vms) if vm in newest.vms else 0.0

    steps = [("start", "a"), ("read", "a"), ("start", "b"), ("read", "b")]
    steps.append(("read", "b"))
    assert largest_total(steps, hasty)[1] > 1
    assert largest_total(steps)[1] <= 1


def test_restore_continues_where_the_snapshot_was_taken():
    steps = ["start a", "start b", "read a", "read a", "adopt a"]
    fleet, _ = largest_total(step.split() for step in steps)
    table = fleet.tables_by_vm["a"]
    snapshot = decode_record(encode_record(table.snapshot()))
    restored = MemberTable()
    restored.restore(snapshot)
    table.apply(2, fleet.records[2])
    restored.apply(1, fleet.records[1])
    restored.apply(2, fleet.records[2])
    assert restored.snapshot() == table.snapshot()
    assert len(restored.views) == 1
