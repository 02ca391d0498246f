"""Serves loan requests from other routers."""

from mulberryhub.limits.messages import (
    BORROW_METHOD,
    BorrowRequest,
    BorrowResponse,
    LoanResponse,
)


class Lender:
    """Lends tokens from the local shares of this router.

    `find_account(workspace)` returns an Account or None. While `is_lending` is False,
    reports are applied but nothing is lent.
    """

    __slots__ = ("is_lending", "_router", "_clock", "_find_account")

    def __init__(self, server, router, clock, find_account):
        self.is_lending = True
        self._router = router
        self._clock = clock
        self._find_account = find_account
        server.register_handler(BORROW_METHOD, BorrowRequest, self.handle_borrow)

    def handle_borrow(self, request):
        """Apply the reports of a BorrowRequest, then respond to its loan requests."""
        if request.holder != self._router.vm:
            # The request is for another VM, which used this address before.
            return BorrowResponse([])
        now = self._clock.now()
        for report in request.reports:
            self._apply_report(request, report, now)
        return BorrowResponse(
            [
                self._respond(request, loan_request, now)
                for loan_request in request.loan_requests
            ]
        )

    def _apply_report(self, request, report, now):
        account = self._find_account(report.workspace)
        if account is not None:
            loan_id = (request.borrower, request.incarnation, report.loan_number)
            account.local_share.apply_report(loan_id, report.returned, now)

    def _respond(self, request, loan_request, now):
        account = self._find_account(loan_request.workspace)
        if account is None or not self.is_lending:
            return LoanResponse(loan_request.workspace, loan_request.loan_number, 0, 0)
        loan_id = (request.borrower, request.incarnation, loan_request.loan_number)
        reserve = self._local_reserve(account, loan_request, now)
        amount = account.local_share.lend(loan_id, loan_request.wanted, reserve, now)
        level = round(max(0.0, account.local_share.bucket.level))
        return LoanResponse(
            loan_request.workspace, loan_request.loan_number, amount, level
        )

    def _local_reserve(self, account, loan_request, now):
        """Return the tokens to keep back for requests on this router."""
        if loan_request.is_urgent:
            return account.waiting_cost
        return account.demand.rate(now) * account.borrow_interval + account.waiting_cost
