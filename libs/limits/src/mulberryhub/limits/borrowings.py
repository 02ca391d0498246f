"""The borrower's side of a workspace: asks that are open and tokens lent to it."""

from operator import attrgetter

from mulberryhub.limits.local_share import LOAN_LIFETIME_MS
from mulberryhub.limits.messages import Ask, Report

EXPECTED_RESPONSE_TIME_MS = 100  # ms within which an answer usually comes
MAX_REPORTS_PER_HOLDER = 1_000  # reports kept per holder


class PendingRequest:
    """An ask made at `time` ms without an answer yet, and what it may bring."""

    __slots__ = ("holder", "expected", "sent_at")

    def __init__(self, holder, expected, sent_at):
        self.holder = holder
        self.expected = expected
        self.sent_at = sent_at


class BorrowedLoan:
    """Tokens borrowed from one holder, usable until `expires` ms."""

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

    Reports for the holders gather in `reports_by_holder`, by loan.
    """

    __slots__ = ("workspace", "reports_by_holder", "_pending_by_loan_number", "_loans")

    def __init__(self, workspace):
        self.workspace = workspace
        self.reports_by_holder = {}
        self._pending_by_loan_number = {}
        self._loans = []

    def request_loan(self, holder, loan_number, wanted, is_urgent, now, expected=0):
        """Return a new ask; `loan` must not have been used before in this run.

        `expected` is the part of `wanted` that the holder is thought to have.
        """
        self._pending_by_loan_number[loan_number] = PendingRequest(
            holder, expected, now
        )
        return Ask(self.workspace, loan_number, wanted, is_urgent)

    def cancel_request(self, loan_number):
        """Give up an ask; its answer is ignored from now on."""
        self._pending_by_loan_number.pop(loan_number, None)

    def receive_loan(self, loan_number, amount, now):
        """Take the answer to an ask, unless it came late or twice."""
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
        """Return the tokens that can be used at `now`."""
        return sum(loan.remaining for loan in self._loans if now < loan.expires_at)

    def expected(self, now):
        """Return what recent asks without an answer are thought to bring."""
        return sum(
            pending.expected
            for pending in self._pending_by_loan_number.values()
            if now - pending.sent_at < EXPECTED_RESPONSE_TIME_MS
        )

    def pending_holders(self):
        """Return the holders that have an ask without an answer."""
        return {pending.holder for pending in self._pending_by_loan_number.values()}

    def take(self, amount, now):
        """Use up to `amount` tokens; return (lot, amount) pairs, oldest first."""
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
        """Put back unused tokens of a lot, or return them once it is closed."""
        if not loan.is_closed:
            loan.remaining += amount
            return
        loan.returned += amount
        self._report(loan)

    def advance(self, now):
        """Report lots that are used up, and return those that have run out."""
        kept = []
        for loan in self._loans:
            if loan.remaining > 0 and now < loan.expires_at:
                kept.append(loan)
                continue
            loan.returned += loan.remaining
            loan.remaining = 0
            loan.is_closed = True
            self._report(loan)
        self._loans = kept

    @property
    def is_idle(self):
        """Tell whether nothing is borrowed, asked for or to be reported."""
        return not (
            self._loans or self._pending_by_loan_number or self.reports_by_holder
        )

    def take_reports(self, holder):
        """Remove and return the reports for `holder`."""
        return list(self.reports_by_holder.pop(holder, {}).values())

    def restore_reports(self, holder, reports):
        """Keep reports that did not reach their holder, unless newer ones exist."""
        kept = self.reports_by_holder.setdefault(holder, {})
        for report in reports[: MAX_REPORTS_PER_HOLDER - len(kept)]:
            kept.setdefault(report.loan_number, report)

    def _report(self, loan):
        reports = self.reports_by_holder.setdefault(loan.holder, {})
        if len(reports) >= MAX_REPORTS_PER_HOLDER:
            del reports[next(iter(reports))]
        reports[loan.loan_number] = Report(
            self.workspace, loan.loan_number, loan.returned
        )
