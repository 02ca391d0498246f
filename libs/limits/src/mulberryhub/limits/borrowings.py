"""The borrower's side of loans: pending loan requests and borrowed tokens."""

from operator import attrgetter

from mulberryhub.limits.local_share import LOAN_LIFETIME_MS
from mulberryhub.limits.messages import LoanReport, LoanRequest

EXPECTED_RESPONSE_TIME_MS = 100  # most responses come within this time
MAX_REPORTS_PER_HOLDER = 1_000


class PendingRequest:
    """A loan request without a response yet, sent at `sent_at` in ms.

    `expected` is the number of tokens that the holder is estimated to lend.
    """

    __slots__ = ("holder", "expected", "sent_at")

    def __init__(self, holder, expected, sent_at):
        self.holder = holder
        self.expected = expected
        self.sent_at = sent_at


class BorrowedLoan:
    """Tokens borrowed from one holder, usable until `expires_at` in ms.

    `returned` counts the tokens returned to the holder. A closed loan is used up or
    has expired.
    """

    __slots__ = (
        "holder",
        "loan_number",
        "remaining",
        "expires_at",
        "returned",
        "is_closed",
    )

    def __init__(self, holder, loan_number, remaining, expires_at):
        self.holder = holder
        self.loan_number = loan_number
        self.remaining = remaining
        self.expires_at = expires_at
        self.returned = 0
        self.is_closed = False


class Borrowings:
    """Tokens of one workspace that this router has borrowed.

    `reports_by_holder` maps each holder to the reports to send to it, by loan
    number.
    """

    __slots__ = ("workspace", "reports_by_holder", "_pending_by_loan_number", "_loans")

    def __init__(self, workspace):
        self.workspace = workspace
        self.reports_by_holder = {}
        self._pending_by_loan_number = {}
        self._loans = []

    def request_loan(self, holder, loan_number, wanted, is_urgent, now, expected=0):
        """Return a new loan request for `wanted` tokens.

        `loan_number` must be new in this incarnation of the router. `expected` is
        the part of `wanted` that the holder is estimated to have.
        """
        self._pending_by_loan_number[loan_number] = PendingRequest(
            holder, expected, now
        )
        return LoanRequest(self.workspace, loan_number, wanted, is_urgent)

    def cancel_request(self, loan_number):
        """Drop a pending loan request; a later response to it is ignored."""
        self._pending_by_loan_number.pop(loan_number, None)

    def receive_loan(self, loan_number, amount, now):
        """Add the loan that answers a request; ignore it if the request is not pending.

        A response that arrives late or twice has no pending request.
        """
        pending = self._pending_by_loan_number.pop(loan_number, None)
        if pending is None or not amount:
            return
        loan = BorrowedLoan(
            pending.holder, loan_number, amount, pending.sent_at + LOAN_LIFETIME_MS
        )
        self._loans.append(loan)
        self._loans.sort(key=attrgetter("expires_at"))
        self.advance(now)

    def available(self, now):
        """Return the borrowed tokens that can be used at `now`."""
        return sum(loan.remaining for loan in self._loans if now < loan.expires_at)

    def expected(self, now):
        """Return the tokens expected from recent loan requests without a response."""
        return sum(
            pending.expected
            for pending in self._pending_by_loan_number.values()
            if now - pending.sent_at < EXPECTED_RESPONSE_TIME_MS
        )

    def pending_holders(self):
        """Return the holders that have not responded to a loan request yet."""
        return {pending.holder for pending in self._pending_by_loan_number.values()}

    def take(self, amount, now):
        """Use up to `amount` tokens and return (loan, amount) pairs.

        Loans that expire first are used first.
        """
        self.advance(now)
        taken = []
        for loan in self._loans:
            used = min(loan.remaining, amount)
            if used <= 0:
                break
            loan.remaining -= used
            amount -= used
            taken.append((loan, used))
        self.advance(now)
        return taken

    def refund(self, loan, amount):
        """Put unused tokens back into `loan`, or report them if it is closed."""
        if not loan.is_closed:
            loan.remaining += amount
            return
        loan.returned += amount
        self._report(loan)

    def advance(self, now):
        """Close and report loans that are used up or expired at `now`."""
        open_loans = []
        for loan in self._loans:
            if loan.remaining > 0 and now < loan.expires_at:
                open_loans.append(loan)
                continue
            loan.returned += loan.remaining
            loan.remaining = 0
            loan.is_closed = True
            self._report(loan)
        self._loans = open_loans

    @property
    def is_idle(self):
        """Return whether nothing is borrowed, requested or left to report."""
        return not (
            self._loans or self._pending_by_loan_number or self.reports_by_holder
        )

    def take_reports(self, holder):
        """Remove and return the reports for `holder`."""
        return list(self.reports_by_holder.pop(holder, {}).values())

    def restore_reports(self, holder, reports):
        """Put back reports that did not reach `holder`, unless newer ones exist."""
        existing = self.reports_by_holder.setdefault(holder, {})
        for report in reports[: MAX_REPORTS_PER_HOLDER - len(existing)]:
            existing.setdefault(report.loan_number, report)

    def _report(self, loan):
        reports = self.reports_by_holder.setdefault(loan.holder, {})
        if len(reports) >= MAX_REPORTS_PER_HOLDER:
            del reports[next(iter(reports))]
        reports[loan.loan_number] = LoanReport(
            self.workspace, loan.loan_number, loan.returned
        )
