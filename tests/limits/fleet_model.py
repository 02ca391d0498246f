"""A model of routers that share one workspace over a simulated network.

Accounts, local shares, borrowings and members are the real ones; only transport and
time are simulated. A test decides which messages are delivered, repeated or lost. Each
router has its own clock, which drifts within the allowed ratio.
"""

from mulberryhub.limits import local_share
from mulberryhub.limits.account import Account
from mulberryhub.limits.bucket import MAX_CLOCK_DRIFT_RATIO
from mulberryhub.limits.shares import share_fraction
from mulberryhub.peers.members import RouterIdentity
from mulberryhub.replica.member_records import Adopted, Joined, Left, Removed
from mulberryhub.replica.member_table import MemberTable
from tests.limits.rate_bound import worst_excess

RATE = 1.0  # tokens per ms
BURST = 900  # tokens
CLOCK_TICK_MS = 1


class Node:
    """One incarnation of a router."""

    def __init__(self, vm, now):
        self.router = RouterIdentity(vm, "dc", vm)
        self.table = MemberTable()
        self.account = Account("w", now, now + local_share.LOAN_RESERVATION_MS)
        self.grants = []
        self.loan_number = 0

    def resize(self, now):
        fraction = share_fraction("w", self.router, self.table.members())
        self.account.resize(RATE, BURST, fraction, now)


class FleetModel:
    """Routers, the log of members, messages in transit and admissions so far."""

    def __init__(self, vms, drifts):
        self.time = 0.0
        self.drifts_by_vm = dict(zip(vms, drifts))
        self.records = []
        self.messages = []
        self.admissions = []
        self.nodes_by_vm = {}
        self.crashed_by_vm = {}
        self.ended_by_vm = {}
        for vm in vms:
            self.start(vm)
        for _ in range(len(vms)):
            for vm in vms:
                self.read_log(vm)
                self.adopt_view(vm)
        for vm in vms:
            self.read_log(vm)

    def now(self, vm):
        index = list(self.drifts_by_vm).index(vm)
        factor = 1 + MAX_CLOCK_DRIFT_RATIO * self.drifts_by_vm[vm]
        return int(self.time * factor) + 1_000 * index

    def advance(self, duration):
        self.time += duration

    def start(self, vm):
        if vm in self.nodes_by_vm:
            return
        node = Node(vm, self.now(vm))
        self.nodes_by_vm[vm] = node
        self.crashed_by_vm.pop(vm, None)
        self.records.append(Joined(vm, node.router.incarnation, "dc", vm))

    def read_log(self, vm):
        node = self.nodes_by_vm.get(vm)
        if node is None:
            return
        while node.table.last_offset + 1 < len(self.records):
            offset = node.table.last_offset + 1
            node.table.apply(offset, self.records[offset])
        node.resize(self.now(vm))

    def adopt_view(self, vm):
        node = self.nodes_by_vm.get(vm)
        member = node and node.table.find(vm, node.router.incarnation)
        if not member or not node.table.needs_adoption(member):
            return
        node.account.local_share.advance(self.now(vm))
        if node.account.local_share.bucket.is_within_burst():
            number = node.table.views[-1].offset
            self.records.append(Adopted(vm, node.router.incarnation, number))

    def crash(self, vm):
        node = self.nodes_by_vm.pop(vm, None)
        if node:
            self.crashed_by_vm[vm] = (self.time, node.router.incarnation)

    def record_gone(self, vm):
        crashed_at, incarnation = self.crashed_by_vm.get(vm, (None, None))
        if (
            crashed_at is not None
            and self.time > crashed_at + 2 * local_share.LOAN_RESERVATION_MS
        ):
            self.records.append(Removed(vm, incarnation, "x"))

    def leave(self, vm):
        node = self.nodes_by_vm.get(vm)
        if node is None:
            return
        node.account.local_share.advance(self.now(vm))
        if not node.account.local_share.has_open_loans:
            del self.nodes_by_vm[vm]
            self.records.append(Left(vm, node.router.incarnation))

    def admit(self, vm, cost):
        node = self.nodes_by_vm.get(vm)
        debits = node and cost and node.account.take(cost, self.now(vm))
        if debits:
            self.admissions.append([self.time, cost])
            node.grants.append((debits, cost, len(self.admissions) - 1))

    def admit_available(self, vm):
        """Admit one request for all available tokens of `vm`."""
        node = self.nodes_by_vm.get(vm)
        if node:
            self.admit(vm, int(node.account.available(self.now(vm))))

    def admit_available_everywhere(self):
        for vm in list(self.nodes_by_vm):
            self.admit_available(vm)

    def settle(self, vm, index, used_percent):
        node = self.nodes_by_vm.get(vm)
        if node and node.grants:
            debits, cost, number = node.grants.pop(index % len(node.grants))
            used = cost * used_percent // 100
            self.admissions[number][1] = used
            node.account.refund(debits, cost - used, self.now(vm))

    def request_loan(self, vm, holder, wanted):
        node = self.nodes_by_vm.get(vm)
        if node is None or vm == holder:
            return
        node.loan_number += 1
        borrowings = node.account.borrowings
        borrowings.advance(self.now(vm))
        incarnation = node.router.incarnation
        loan_request = borrowings.request_loan(
            holder, node.loan_number, wanted, True, self.now(vm)
        )
        self.messages.append(("loan_request", vm, incarnation, holder, loan_request))
        self.report(vm, holder)

    def borrow(self, vm, holder, wanted):
        """Send a loan request and deliver all messages."""
        self.request_loan(vm, holder, wanted)
        self.deliver_all()

    def deliver_all(self):
        while self.messages:
            self.deliver(0)

    def sync_members(self):
        """Let all routers read the log and adopt its newest view."""
        for _ in range(2):
            for vm in list(self.nodes_by_vm):
                self.read_log(vm)
                self.adopt_view(vm)

    def restart(self, vm):
        self.crash(vm)
        self.start(vm)
        self.read_log(vm)

    def report(self, vm, holder):
        node = self.nodes_by_vm.get(vm)
        if node is None:
            return
        node.account.borrowings.advance(self.now(vm))
        for report in node.account.borrowings.take_reports(holder):
            incarnation = node.router.incarnation
            self.messages.append(("report", vm, incarnation, holder, report))

    def deliver(self, index, keep=False):
        """Deliver one message in any order; with `keep` it can be delivered again."""
        if not self.messages:
            return
        index %= len(self.messages)
        message = self.messages[index] if keep else self.messages.pop(index)
        kind, vm, incarnation, holder, body = message
        if kind == "response":
            self._receive_response(vm, incarnation, body)
            return
        node = self.nodes_by_vm.get(holder)
        if node is None:
            return
        loan_id, now = (vm, incarnation, body.loan_number), self.now(holder)
        if kind == "report":
            node.account.local_share.apply_report(loan_id, body.returned, now)
            return
        amount = node.account.local_share.lend(loan_id, body.wanted, 0, now)
        self.messages.append(
            ("response", vm, incarnation, holder, (body.loan_number, amount))
        )

    def drop(self, index):
        if self.messages:
            self.messages.pop(index % len(self.messages))

    def excess(self):
        """Return the excess over the bound, less what a clock tick of 1 ms explains."""
        admissions = [tuple(admission) for admission in self.admissions]
        return worst_excess(admissions, RATE, BURST) - RATE * CLOCK_TICK_MS

    def _receive_response(self, vm, incarnation, body):
        node = self.nodes_by_vm.get(vm)
        if node and node.router.incarnation == incarnation:
            loan_number, amount = body
            node.account.borrowings.receive_loan(loan_number, amount, self.now(vm))
