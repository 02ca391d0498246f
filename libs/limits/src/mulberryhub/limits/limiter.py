"""Admits requests within the rate and burst of their workspace, fleet-wide."""

from functools import partial
from itertools import count

from mulberryhub.base.errors import Code, HubError
from mulberryhub.base.green import sleep, spawn
from mulberryhub.limits.account import Account
from mulberryhub.limits.grant import Grant
from mulberryhub.limits.holding import CLOSED_TIME
from mulberryhub.limits.lender import Lender
from mulberryhub.limits.link import Link
from mulberryhub.limits.planner import Planner
from mulberryhub.limits.shares import HolderTable, fraction_of

MAX_WAIT = 2_000  # ms
BUSY_TICK = 20  # ms
IDLE_TICK = 100  # ms
REPORT_INTERVAL = 500  # ms
LEAST_RETRY_AFTER = 1_000  # ms


class Limiter:
    """The allowances of all workspaces on one router.

    `replica.current()` gives the configuration, `router` is this run of the
    router, `client` and `server` exchange messages with the others.
    """

    __slots__ = (
        "_router",
        "_client",
        "_clock",
        "_counters",
        "_replica",
        "_lender",
        "_view",
        "_members",
        "_holders",
        "_accounts_by_workspace",
        "_planners_by_workspace",
        "_busy_workspaces",
        "_links_by_vm",
        "_loan_numbers",
        "_reports_due",
        "_fill_start",
        "_thread",
    )

    def __init__(self, router, replica, client, server, clock, counters):
        self._router = router
        self._client = client
        self._clock = clock
        self._counters = counters
        self._replica = replica
        self._lender = Lender(server, router, clock, self._find_account)
        self._view = None
        self._members = None
        self._holders = HolderTable()
        self._accounts_by_workspace = {}
        self._planners_by_workspace = {}
        self._busy_workspaces = set()
        self._links_by_vm = {}
        self._loan_numbers = count(1)
        self._reports_due = 0
        self._fill_start = clock.now() + CLOSED_TIME
        self._thread = None

    @property
    def is_ready(self):
        """Tell whether the routers are known, so that requests can be admitted."""
        return self._members is not None

    @property
    def holds_shares(self):
        """Tell whether this router is a member that all others have made room for."""
        members = self._members
        if members is None or not members.includes(self._router):
            return False
        return all(self._router.vm in view.vms for view in members.views)

    def start(self):
        """Serve those who wait and borrow for them, on a green thread."""
        self._thread = spawn(self._run)

    def close(self):
        """Lend no more, wait for the loans to end, and stop borrowing."""
        self.drain(CLOSED_TIME + IDLE_TICK)
        if self._thread is not None:
            self._thread.kill()
        for link in self._links_by_vm.values():
            link.close()

    def follow(self, members):
        """Use the shares that follow from `members` (None: use none) from now on."""
        self._members = members
        if members is not None:
            self._open_links(members)
        self._resize()

    def release(self, view):
        """Tell whether this router holds and lends no more than it may under `view`."""
        members = self._members
        if members is None or members.newest.number < view.number:
            return False
        return all(self._fits(account) for account in self._accounts())

    def drain(self, timeout):
        """Lend no more, and wait until no loan of this router can be used.

        Return False when that took longer than `timeout` ms.
        """
        self._lender.is_open = False
        deadline = self._clock.now() + timeout
        while not all(self._is_drained(account) for account in self._accounts()):
            if self._clock.now() >= deadline:
                return False
            sleep(BUSY_TICK / 1000)
        return True

    def admit(self, workspace, cost, deadline):
        """Debit `cost` tokens of `workspace` and return the Grant.

        `workspace` is a Workspace of the configuration, `cost` the most tokens
        that the request can use. Wait for tokens a short time, at most until
        `deadline` in ms; then raise HubError with OVER_RATE, or at once with
        OVER_BURST when no wait can help.
        """
        cost = int(cost)
        if cost > workspace.burst:
            raise HubError(
                Code.OVER_BURST,
                f"the request needs {cost} tokens, the burst is {workspace.burst:g}",
            )
        if not self.is_ready:
            raise HubError(
                Code.NOT_READY,
                "the holders of the workspace are not known yet",
                retry_after=LEAST_RETRY_AFTER,
            )
        account = self._account_of(workspace)
        now = self._clock.now()
        account.demand.add(cost, now)
        give_back = partial(self._give_back, account)
        parts = None if account.waiters else account.take(cost, now)
        if parts is None:
            waiter = self._wait(account, cost, deadline)
            return Grant(cost, waiter.time, waiter.parts, give_back)
        self._borrow(account, now)
        return Grant(cost, now, parts, give_back)

    def allowance(self):
        """Return the level of the own share by workspace, in tokens."""
        now = self._clock.now()
        levels_by_workspace = {}
        for workspace, account in self._accounts_by_workspace.items():
            levels_by_workspace[workspace] = int(account.available(now))
        return levels_by_workspace

    def collect_reports(self, vm):
        """Remove and return the reports for the holder `vm`."""
        reports = []
        for workspace in self._busy_workspaces:
            account = self._accounts_by_workspace[workspace]
            reports += account.borrowings.take_reports(vm)
        return reports

    def receive(self, vm, asks, loans):
        """Take in the answer of the holder `vm` to `asks`."""
        now = self._clock.now()
        asks_by_loan = {ask.loan: ask for ask in asks}
        for lent in loans.lent:
            ask = asks_by_loan.pop(lent.loan, None)
            if ask is not None:
                self._receive_one(vm, ask, lent, now)
        self.fail(vm, asks_by_loan.values(), [])

    def fail(self, vm, asks, reports):
        """Give up `asks` to the holder `vm`, and send `reports` again later."""
        if asks:
            self._counters.add("retry.borrow")
        for ask in asks:
            self._accounts_by_workspace[ask.workspace].borrowings.fail(ask.loan)
        for report in reports:
            account = self._accounts_by_workspace[report.workspace]
            account.borrowings.restore_reports(vm, [report])

    def _receive_one(self, vm, ask, lent, now):
        account = self._accounts_by_workspace[ask.workspace]
        account.borrowings.receive(ask.loan, lent.amount, now)
        planner = self._planners_by_workspace[ask.workspace]
        planner.answered(vm, ask.wanted, lent.amount, lent.level, now)
        account.serve_waiters(now)
        self._borrow(account, now)

    def _wait(self, account, cost, deadline):
        now = self._clock.now()
        longest = account.rate * MAX_WAIT + account.burst
        if account.waiting_cost + cost > longest:
            raise self._over_rate(account, cost)
        waiter = account.add_waiter(cost)
        self._borrow(account, now)
        try:
            waiter.event.wait(max(0, min(MAX_WAIT, deadline - now)) / 1000)
        except BaseException:
            # The caller has gone.
            self._withdraw(account, waiter)
            raise
        if waiter.parts is None:
            error = self._over_rate(account, cost)
            self._withdraw(account, waiter)
            raise error
        return waiter

    def _withdraw(self, account, waiter):
        if waiter.parts is None:
            account.remove_waiter(waiter)
            account.serve_waiters(self._clock.now())
        else:
            self._give_back(account, waiter.parts, waiter.cost)

    def _give_back(self, account, parts, unused):
        now = self._clock.now()
        self._busy_workspaces.add(account.workspace)
        if unused < 0:
            account.owe(-unused)
        else:
            account.give_back(parts, unused, now)
        account.serve_waiters(now)

    def _over_rate(self, account, cost):
        lacking = max(cost, account.waiting_cost)
        lacking += account.owed - account.available(self._clock.now())
        pause = int(lacking / account.rate) if account.rate else 0
        return HubError(
            Code.OVER_RATE,
            f"workspace {account.workspace!r} has used up its rate",
            retry_after=max(LEAST_RETRY_AFTER, pause),
        )

    def _borrow(self, account, now):
        """Send the asks that the account needs now."""
        self._busy_workspaces.add(account.workspace)
        planner = self._planners_by_workspace[account.workspace]
        for planned in planner.plan(self._reachable(account), now):
            ask = account.borrowings.ask(
                planned.holder,
                next(self._loan_numbers),
                planned.wanted,
                planned.is_urgent,
                now,
                planned.expected,
            )
            self._links_by_vm[planned.holder].ask(ask)

    def _reachable(self, account):
        """Return the other holders of a workspace that may answer."""
        if self._members is None:
            return []
        holders = self._holders.holders(account.workspace, self._members.newest)
        links_by_vm = self._links_by_vm
        return [vm for vm in holders if vm in links_by_vm and links_by_vm[vm].is_usable]

    def _run(self):
        while True:
            busy = [
                self._accounts_by_workspace[workspace]
                for workspace in self._busy_workspaces
            ]
            is_waiting = any(account.waiters for account in busy)
            sleep((BUSY_TICK if is_waiting else IDLE_TICK) / 1000)
            now = self._clock.now()
            if self._replica.current() is not self._view:
                self._resize()
            for account in busy:
                self._advance(account, now)
            self._send_reports(now)

    def _advance(self, account, now):
        account.holding.advance(now)
        account.borrowings.advance(now)
        account.serve_waiters(now)
        self._borrow(account, now)
        if account.is_idle:
            self._busy_workspaces.discard(account.workspace)

    def _send_reports(self, now):
        if now < self._reports_due:
            return
        self._reports_due = now + REPORT_INTERVAL
        for workspace in self._busy_workspaces:
            borrowings = self._accounts_by_workspace[workspace].borrowings
            for vm in list(borrowings.reports_by_holder):
                link = self._links_by_vm.get(vm)
                if link is None:
                    borrowings.take_reports(vm)
                elif link.is_usable:
                    link.wake()

    def _open_links(self, members):
        for vm, link in list(self._links_by_vm.items()):
            member = members.members_by_vm.get(vm)
            if member is None or member.peer_address != link.address:
                del self._links_by_vm[vm]
                link.close()
        for vm, member in members.members_by_vm.items():
            if vm != self._router.vm and vm not in self._links_by_vm:
                self._links_by_vm[vm] = Link(
                    vm,
                    member.peer_address,
                    self._router,
                    self._client,
                    self._clock,
                    self,
                )

    def _resize(self):
        """Give each account the rate, burst and share that are now in force."""
        self._view = self._replica.current()
        if self._view is None:
            return
        for workspace in self._view.workspaces_by_id.values():
            self._resize_account(self._account_of(workspace), workspace)
        for id_, account in self._accounts_by_workspace.items():
            if id_ not in self._view.workspaces_by_id:
                account.resize(0.0, 0.0, 0.0, self._clock.now())

    def _resize_account(self, account, workspace):
        holders = self._holders.holders
        fraction = fraction_of(workspace.id, self._router, self._members, holders)
        rate = workspace.rate / 1000
        account.resize(rate, workspace.burst, fraction, self._clock.now())

    def _account_of(self, workspace):
        account = self._accounts_by_workspace.get(workspace.id)
        if account is None:
            account = Account(workspace.id, self._clock.now(), self._fill_start)
            self._accounts_by_workspace[workspace.id] = account
            self._planners_by_workspace[workspace.id] = Planner(account)
            self._resize_account(account, workspace)
        return account

    def _find_account(self, workspace):
        return self._accounts_by_workspace.get(workspace)

    def _accounts(self):
        return list(self._accounts_by_workspace.values())

    def _fits(self, account):
        account.holding.advance(self._clock.now())
        return account.holding.bucket.fits()

    def _is_drained(self, account):
        account.holding.advance(self._clock.now())
        return not account.holding.has_open_loans
