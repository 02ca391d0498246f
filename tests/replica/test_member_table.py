from hypothesis import given, settings, strategies as st

from mulberryhub.replica.member_records import (
    Adopted,
    Joined,
    Left,
    Removed,
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
    """Return the fraction that a router may use, computed like the limiter does."""
    if table.find(vm, incarnation) is None:
        return 0.0
    return min(
        1 / len(view.vms) if vm in view.vms else 0.0 for view in table.members().views
    )


class Fleet:
    """Routers that replay the same log, each from its own read position."""

    def __init__(self, share=usable_share):
        self.records = []
        self.tables_by_vm = {}
        self.incarnations_by_vm = {}
        self.crashed_shares_by_vm = {}
        self.share = share

    def append(self, record):
        self.records.append(decode_record(encode_record(record)))

    def start(self, vm):
        if vm in self.tables_by_vm:
            return
        self.crashed_shares_by_vm.pop(vm, None)
        self.incarnations_by_vm[vm] = f"{vm}{len(self.records)}"
        self.tables_by_vm[vm] = MemberTable()
        self.append(Joined(vm, self.incarnations_by_vm[vm], "dc", "address"))

    def read(self, vm, count=1):
        table = self.tables_by_vm.get(vm)
        if table is None:
            return
        for _ in range(count):
            offset = table.last_offset + 1
            if offset < len(self.records):
                table.apply(offset, self.records[offset])

    def catch_up(self, vm):
        self.read(vm, len(self.records))

    def adopt(self, vm):
        table = self.tables_by_vm.get(vm)
        member = table and table.find(vm, self.incarnations_by_vm[vm])
        if member and table.needs_adoption(member):
            self.append(
                Adopted(vm, self.incarnations_by_vm[vm], table.views[-1].offset)
            )

    def leave(self, vm):
        if vm in self.tables_by_vm:
            del self.tables_by_vm[vm]
            self.append(Left(vm, self.incarnations_by_vm[vm]))

    def crash(self, vm):
        table = self.tables_by_vm.pop(vm, None)
        if table:
            share = self.share(table, vm, self.incarnations_by_vm[vm])
            self.crashed_shares_by_vm[vm] = share

    def gone(self, vm):
        if self.crashed_shares_by_vm.pop(vm, None) is not None:
            self.append(Removed(vm, self.incarnations_by_vm[vm], "x"))

    def total_share(self):
        live = sum(
            self.share(table, vm, self.incarnations_by_vm[vm])
            for vm, table in self.tables_by_vm.items()
        )
        return live + sum(self.crashed_shares_by_vm.values())


def max_total_share(steps, share=usable_share):
    fleet, max_total = Fleet(share), 0.0
    for action, vm in steps:
        getattr(fleet, action)(vm)
        max_total = max(max_total, fleet.total_share())
    return fleet, max_total


@settings(derandomize=True, deadline=None, max_examples=600)
@given(STEPS)
def test_sum_of_shares_never_exceeds_one(steps):
    assert max_total_share(steps)[1] <= 1 + 1e-9


@settings(derandomize=True, deadline=None, max_examples=100)
@given(STEPS)
def test_all_routers_converge_to_the_newest_view(steps):
    fleet, _ = max_total_share(steps)
    for vm in list(fleet.crashed_shares_by_vm):
        fleet.gone(vm)
    for _ in range(3):
        for vm in list(fleet.tables_by_vm):
            fleet.catch_up(vm)
            fleet.adopt(vm)
    for vm, table in fleet.tables_by_vm.items():
        fleet.catch_up(vm)
        assert [view.vms for view in table.views] == [tuple(sorted(fleet.tables_by_vm))]


def test_using_the_newest_view_without_adoption_exceeds_one():
    def newest_view_share(table, vm, incarnation):
        newest = table.members().newest_view
        return 1 / len(newest.vms) if vm in newest.vms else 0.0

    steps = [("start", "a"), ("read", "a"), ("start", "b"), ("read", "b")]
    steps.append(("read", "b"))
    assert max_total_share(steps, newest_view_share)[1] > 1
    assert max_total_share(steps)[1] <= 1


def test_restored_table_ignores_records_before_the_snapshot():
    steps = ["start a", "start b", "read a", "read a", "adopt a"]
    fleet, _ = max_total_share(step.split() for step in steps)
    table = fleet.tables_by_vm["a"]
    snapshot = decode_record(encode_record(table.snapshot()))
    restored = MemberTable()
    restored.restore(snapshot)
    table.apply(2, fleet.records[2])
    restored.apply(1, fleet.records[1])
    restored.apply(2, fleet.records[2])
    assert restored.snapshot() == table.snapshot()
    assert len(restored.views) == 1
