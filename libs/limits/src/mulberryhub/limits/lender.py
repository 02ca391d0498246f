"""Answers the routers that borrow from this one."""

from mulberryhub.limits.messages import (
    BORROW_METHOD,
    BorrowRequest,
    BorrowResponse,
    Lent,
)


class Lender:
    """Lends from the accounts of this router.

    `find(workspace)` returns an account or None.
    """

    __slots__ = ("is_lending", "_router", "_clock", "_find_account")

    def __init__(self, server, router, clock, find_account):
        self.is_lending = True
        self._router = router
        self._clock = clock
        self._find_account = find_account
        server.serve(BORROW_METHOD, BorrowRequest, self.handle_borrow)

    def handle_borrow(self, request):
        """Take the reports of a Borrow message, then answer its asks."""
        if request.holder != self._router.vm:
            # The address now belongs to another VM than the borrower thinks.
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
            return Lent(loan_request.workspace, loan_request.loan_number, 0, 0)
        loan_id = (request.borrower, request.incarnation, loan_request.loan_number)
        reserve = self._local_reserve(account, loan_request, now)
        amount = account.local_share.lend(loan_id, loan_request.wanted, reserve, now)
        level = round(max(0.0, account.local_share.bucket.level))
        return Lent(loan_request.workspace, loan_request.loan_number, amount, level)

    def _local_reserve(self, account, loan_request, now):
        """Return the tokens that own callers need before those of the borrower."""
        if loan_request.is_urgent:
            return account.waiting_cost
        return account.demand.rate(now) * account.borrow_interval + account.waiting_cost
