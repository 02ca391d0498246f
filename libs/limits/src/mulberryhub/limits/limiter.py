"""Admits requests within the fleet-wide rate and burst of their workspace."""

from functools import partial
from itertools import count

from mulberryhub.base.errors import ApiError, ErrorCode
from mulberryhub.base.green import sleep, spawn
from mulberryhub.limits.account import Account
from mulberryhub.limits.borrow_client import BorrowClient
from mulberryhub.limits.grant import Grant
from mulberryhub.limits.lender import Lender
from mulberryhub.limits.local_share import LOAN_RESERVATION_MS
from mulberryhub.limits.planner import Planner
from mulberryhub.limits.shares import HolderCache, share_fraction

MAX_WAIT_MS = 2_000
SHORT_POLL_INTERVAL_MS = 20  # while requests wait or loans are drained
LONG_POLL_INTERVAL_MS = 100
REPORT_INTERVAL_MS = 500
MIN_RETRY_AFTER_MS = 1_000


class Limiter:
    """The rate limits of all workspaces on one router.

    `router` identifies this incarnation of the router. `replica.current()` returns the
    configuration view. `peer_client` and `server` exchange messages with the other
    routers.
    """

    __slots__ = (
        "_router",
        "_peer_client",
        "_clock",
        "_counters",
        "_replica",
        "_lender",
        "_config_view",
        "_members",
        "_holder_cache",
        "_accounts_by_workspace",
        "_planners_by_workspace",
        "_active_workspaces",
        "_borrow_clients_by_vm",
        "_loan_numbers",
        "_reports_due_at",
        "_fill_start",
        "_thread",
    )

    def __init__(self, router, replica, peer_client, server, clock, counters):
        self._router = router
        self._peer_client = peer_client
        self._clock = clock
        self._counters = counters
        self._replica = replica
        self._lender = Lender(server, router, clock, self._find_account)
        self._config_view = None
        self._members = None
        self._holder_cache = HolderCache()
        self._accounts_by_workspace = {}
        self._planners_by_workspace = {}
        self._active_workspaces = set()
        self._borrow_clients_by_vm = {}
        self._loan_numbers = count(1)
        self._reports_due_at = 0
        self._fill_start = clock.now() + LOAN_RESERVATION_MS
        self._thread = None

    @property
    def is_ready(self):
        """Return whether the members are known, so that requests can be admitted."""
        return self._members is not None

    @property
    def holds_shares(self):
        """Return whether this router may use its shares.

        It must be a member and part of every view in use; all other members have
        then reduced their shares for it.
        """
        members = self._members
        if members is None or not members.includes(self._router):
            return False
        return all(self._router.vm in view.vms for view in members.views)

    def start(self):
        """Start the green thread that serves waiting requests and borrows tokens."""
        self._thread = spawn(self._run)

    def close(self):
        """Stop lending, wait until loans have ended, and stop borrowing."""
        self.drain(LOAN_RESERVATION_MS + LONG_POLL_INTERVAL_MS)
        if self._thread is not None:
            self._thread.kill()
        for borrow_client in self._borrow_clients_by_vm.values():
            borrow_client.close()

    def update_members(self, members):
        """Resize the local shares according to `members`; None sets them to zero."""
        self._members = members
        if members is not None:
            self._update_clients(members)
        self._resize()

    def is_within_view(self, view):
        """Return whether this router holds and lends no more than `view` allows."""
        members = self._members
        if members is None or members.newest_view.offset < view.offset:
            return False
        return all(self._is_within_burst(account) for account in self._accounts())

    def drain(self, timeout):
        """Stop lending and wait until no loan of this router can be used.

        Return False if that takes longer than `timeout` ms.
        """
        self._lender.is_lending = False
        deadline = self._clock.now() + timeout
        while not all(self._is_drained(account) for account in self._accounts()):
            if self._clock.now() >= deadline:
                return False
            sleep(SHORT_POLL_INTERVAL_MS / 1000)
        return True

    def admit(self, workspace, cost, deadline):
        """Debit `cost` tokens of `workspace` and return the Grant.

        `workspace` is a Workspace of the configuration, `cost` the maximum number of
        tokens that the request can use. Wait for tokens at most MAX_WAIT_MS and not
        beyond `deadline` in ms. Raise ApiError with OVER_RATE if the tokens do not
        come in time, or at once if too many requests wait; with OVER_BURST if `cost`
        exceeds the burst; with NOT_READY while the members are not known.
        """
        cost = int(cost)
        if cost > workspace.burst:
            raise ApiError(
                ErrorCode.OVER_BURST,
                f"the request needs {cost} tokens, the burst is {workspace.burst:g}",
            )
        if not self.is_ready:
            raise ApiError(
                ErrorCode.NOT_READY,
                "the holders of the workspace are not known yet",
                retry_after=MIN_RETRY_AFTER_MS,
            )
        account = self._get_or_create_account(workspace)
        now = self._clock.now()
        account.demand.add(cost, now)
        settle_debits = partial(self._settle_debits, account)
        debits = None if account.waiters else account.take(cost, now)
        if debits is None:
            waiter = self._wait(account, cost, deadline)
            return Grant(cost, waiter.debited_at, waiter.debits, settle_debits)
        self._request_loans(account, now)
        return Grant(cost, now, debits, settle_debits)

    def available_tokens_by_workspace(self):
        """Return the available tokens by workspace, local and borrowed."""
        now = self._clock.now()
        tokens_by_workspace = {}
        for workspace, account in self._accounts_by_workspace.items():
            tokens_by_workspace[workspace] = int(account.available(now))
        return tokens_by_workspace

    def collect_reports(self, vm):
        """Remove and return the reports to send to the holder `vm`."""
        reports = []
        for workspace in self._active_workspaces:
            account = self._accounts_by_workspace[workspace]
            reports += account.borrowings.take_reports(vm)
        return reports

    def handle_response(self, vm, loan_requests, response):
        """Handle the response of the holder `vm` to `loan_requests`."""
        now = self._clock.now()
        loan_requests_by_number = {
            loan_request.loan_number: loan_request for loan_request in loan_requests
        }
        for loan_response in response.loans:
            loan_request = loan_requests_by_number.pop(loan_response.loan_number, None)
            if loan_request is not None:
                self._receive_loan(vm, loan_request, loan_response, now)
        self.handle_failure(vm, loan_requests_by_number.values(), [])

    def handle_failure(self, vm, loan_requests, reports):
        """Cancel `loan_requests` to the holder `vm` and keep `reports` for later."""
        if loan_requests:
            self._counters.add("retry.borrow")
        for loan_request in loan_requests:
            self._accounts_by_workspace[
                loan_request.workspace
            ].borrowings.cancel_request(loan_request.loan_number)
        for report in reports:
            account = self._accounts_by_workspace[report.workspace]
            account.borrowings.restore_reports(vm, [report])

    def _receive_loan(self, vm, loan_request, loan_response, now):
        account = self._accounts_by_workspace[loan_request.workspace]
        account.borrowings.receive_loan(
            loan_request.loan_number, loan_response.amount, now
        )
        planner = self._planners_by_workspace[loan_request.workspace]
        planner.record_response(
            vm, loan_request.wanted, loan_response.amount, loan_response.level, now
        )
        account.serve_waiters(now)
        self._request_loans(account, now)

    def _wait(self, account, cost, deadline):
        now = self._clock.now()
        max_waiting_cost = account.rate * MAX_WAIT_MS + account.burst
        if account.waiting_cost + cost > max_waiting_cost:
            raise self._over_rate_error(account, cost)
        waiter = account.add_waiter(cost)
        self._request_loans(account, now)
        try:
            waiter.event.wait(max(0, min(MAX_WAIT_MS, deadline - now)) / 1000)
        except BaseException:
            # The client has disconnected.
            self._cancel_waiter(account, waiter)
            raise
        if waiter.debits is None:
            error = self._over_rate_error(account, cost)
            self._cancel_waiter(account, waiter)
            raise error
        return waiter

    def _cancel_waiter(self, account, waiter):
        if waiter.debits is None:
            account.remove_waiter(waiter)
            account.serve_waiters(self._clock.now())
        else:
            self._settle_debits(account, waiter.debits, waiter.cost)

    def _settle_debits(self, account, debits, unused):
        now = self._clock.now()
        self._active_workspaces.add(account.workspace)
        if unused < 0:
            account.add_debt(-unused)
        else:
            account.refund(debits, unused, now)
        account.serve_waiters(now)

    def _over_rate_error(self, account, cost):
        shortfall = max(cost, account.waiting_cost)
        shortfall += account.debt - account.available(self._clock.now())
        wait_ms = int(shortfall / account.rate) if account.rate else 0
        return ApiError(
            ErrorCode.OVER_RATE,
            f"workspace {account.workspace!r} has used up its rate",
            retry_after=max(MIN_RETRY_AFTER_MS, wait_ms),
        )

    def _request_loans(self, account, now):
        """Send the loan requests that the account needs now."""
        self._active_workspaces.add(account.workspace)
        planner = self._planners_by_workspace[account.workspace]
        for planned in planner.plan(self._reachable_holders(account), now):
            loan_request = account.borrowings.request_loan(
                planned.holder,
                next(self._loan_numbers),
                planned.wanted,
                planned.is_urgent,
                now,
                planned.expected,
            )
            self._borrow_clients_by_vm[planned.holder].request_loan(loan_request)

    def _reachable_holders(self, account):
        """Return the other holders of the workspace that are not in backoff."""
        if self._members is None:
            return []
        holders = self._holder_cache.holders(
            account.workspace, self._members.newest_view
        )
        clients_by_vm = self._borrow_clients_by_vm
        return [
            vm for vm in holders if vm in clients_by_vm and clients_by_vm[vm].is_usable
        ]

    def _run(self):
        while True:
            active_accounts = [
                self._accounts_by_workspace[workspace]
                for workspace in self._active_workspaces
            ]
            is_waiting = any(account.waiters for account in active_accounts)
            sleep(
                (SHORT_POLL_INTERVAL_MS if is_waiting else LONG_POLL_INTERVAL_MS) / 1000
            )
            now = self._clock.now()
            if self._replica.current() is not self._config_view:
                self._resize()
            for account in active_accounts:
                self._advance(account, now)
            self._send_reports(now)

    def _advance(self, account, now):
        account.local_share.advance(now)
        account.borrowings.advance(now)
        account.serve_waiters(now)
        self._request_loans(account, now)
        if account.is_idle:
            self._active_workspaces.discard(account.workspace)

    def _send_reports(self, now):
        if now < self._reports_due_at:
            return
        self._reports_due_at = now + REPORT_INTERVAL_MS
        for workspace in self._active_workspaces:
            borrowings = self._accounts_by_workspace[workspace].borrowings
            for vm in list(borrowings.reports_by_holder):
                borrow_client = self._borrow_clients_by_vm.get(vm)
                if borrow_client is None:
                    borrowings.take_reports(vm)
                elif borrow_client.is_usable:
                    borrow_client.wake()

    def _update_clients(self, members):
        for vm, borrow_client in list(self._borrow_clients_by_vm.items()):
            member = members.members_by_vm.get(vm)
            if member is None or member.peer_address != borrow_client.address:
                del self._borrow_clients_by_vm[vm]
                borrow_client.close()
        for vm, member in members.members_by_vm.items():
            if vm != self._router.vm and vm not in self._borrow_clients_by_vm:
                self._borrow_clients_by_vm[vm] = BorrowClient(
                    vm,
                    member.peer_address,
                    self._router,
                    self._peer_client,
                    self._clock,
                    self,
                )

    def _resize(self):
        """Set the rate, burst and share of each account to those now in force."""
        self._config_view = self._replica.current()
        if self._config_view is None:
            return
        for workspace in self._config_view.workspaces_by_id.values():
            self._resize_account(self._get_or_create_account(workspace), workspace)
        for id_, account in self._accounts_by_workspace.items():
            if id_ not in self._config_view.workspaces_by_id:
                account.resize(0.0, 0.0, 0.0, self._clock.now())

    def _resize_account(self, account, workspace):
        holders = self._holder_cache.holders
        fraction = share_fraction(workspace.id, self._router, self._members, holders)
        rate = workspace.rate / 1000
        account.resize(rate, workspace.burst, fraction, self._clock.now())

    def _get_or_create_account(self, workspace):
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

    def _is_within_burst(self, account):
        account.local_share.advance(self._clock.now())
        return account.local_share.bucket.is_within_burst()

    def _is_drained(self, account):
        account.local_share.advance(self._clock.now())
        return not account.local_share.has_open_loans
