"""Answers the routers that borrow from this one."""

from mulberryhub.limits.messages import BORROW, Borrow, Lent, Loans


class Lender:
    """Lends from the accounts of this router.

    `find(workspace)` returns an account or None.
    """

    __slots__ = ("is_open", "_router", "_clock", "_find")

    def __init__(self, server, router, clock, find):
        self.is_open = True
        self._router = router
        self._clock = clock
        self._find = find
        server.serve(BORROW, Borrow, self.lend)

    def lend(self, message):
        """Take the reports of a Borrow message, then answer its asks."""
        if message.holder != self._router.vm:
            # The address now belongs to another VM than the borrower thinks.
            return Loans([])
        now = self._clock.now()
        for report in message.reports:
            self._take_report(message, report, now)
        return Loans([self._answer(message, ask, now) for ask in message.asks])

    def _take_report(self, message, report, now):
        account = self._find(report.workspace)
        if account is not None:
            loan_id = (message.borrower, message.run, report.loan)
            account.holding.report(loan_id, report.returned, now)

    def _answer(self, message, ask, now):
        account = self._find(ask.workspace)
        if account is None or not self.is_open:
            return Lent(ask.workspace, ask.loan, 0, 0)
        loan_id = (message.borrower, message.run, ask.loan)
        reserve = self._reserve(account, ask, now)
        amount = account.holding.lend(loan_id, ask.wanted, reserve, now)
        level = round(max(0.0, account.holding.bucket.level))
        return Lent(ask.workspace, ask.loan, amount, level)

    def _reserve(self, account, ask, now):
        """Return the tokens that own callers need before those of the borrower."""
        if ask.is_urgent:
            return account.waiting_cost
        return account.demand.rate(now) * account.interval + account.waiting_cost
