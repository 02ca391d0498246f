"""The borrower's side of a workspace: asks that are open and tokens lent to it."""

from operator import attrgetter

from mulberryhub.limits.holding import LOAN_TIME
from mulberryhub.limits.messages import Ask, Report

ANSWER_TIME = 100  # ms within which an answer usually comes
MAX_REPORTS = 1_000  # reports kept per holder


class Pending:
    """An ask made at `time` ms without an answer yet, and what it may bring."""

    __slots__ = ("holder", "expected", "time")

    def __init__(self, holder, expected, time):
        self.holder = holder
        self.expected = expected
        self.time = time


class Lot:
    """Tokens borrowed from one holder, usable until `expires` ms."""

    __slots__ = ("holder", "loan", "left", "expires", "returned", "is_closed")

    def __init__(self, holder, loan, left, expires):
        self.holder = holder
        self.loan = loan
        self.left = left
        self.expires = expires
        self.returned = 0
        self.is_closed = False


class Borrowings:
    """Tokens of one workspace that this router has borrowed.

    Reports for the holders gather in `reports_by_holder`, by loan.
    """

    __slots__ = ("workspace", "reports_by_holder", "_pending_by_loan", "_lots")

    def __init__(self, workspace):
        self.workspace = workspace
        self.reports_by_holder = {}
        self._pending_by_loan = {}
        self._lots = []

    def ask(self, holder, loan, wanted, is_urgent, now, expected=0):
        """Return a new ask; `loan` must not have been used before in this run.

        `expected` is the part of `wanted` that the holder is thought to have.
        """
        self._pending_by_loan[loan] = Pending(holder, expected, now)
        return Ask(self.workspace, loan, wanted, is_urgent)

    def fail(self, loan):
        """Give up an ask; its answer is ignored from now on."""
        self._pending_by_loan.pop(loan, None)

    def receive(self, loan, amount, now):
        """Take the answer to an ask, unless it came late or twice."""
        pending = self._pending_by_loan.pop(loan, None)
        if pending is None or not amount:
            return
        lot = Lot(pending.holder, loan, amount, pending.time + LOAN_TIME)
        self._lots.append(lot)
        self._lots.sort(key=attrgetter("expires"))
        self.advance(now)

    def available(self, now):
        """Return the tokens that can be used at `now`."""
        return sum(lot.left for lot in self._lots if now < lot.expires)

    def expected(self, now):
        """Return what recent asks without an answer are thought to bring."""
        return sum(
            pending.expected
            for pending in self._pending_by_loan.values()
            if now - pending.time < ANSWER_TIME
        )

    def asked_holders(self):
        """Return the holders that have an ask without an answer."""
        return {pending.holder for pending in self._pending_by_loan.values()}

    def take(self, amount, now):
        """Use up to `amount` tokens; return (lot, amount) pairs, oldest first."""
        self.advance(now)
        taken = []
        for lot in self._lots:
            part = min(lot.left, amount)
            if part <= 0:
                break
            lot.left -= part
            amount -= part
            taken.append((lot, part))
        self.advance(now)
        return taken

    def give_back(self, lot, amount):
        """Put back unused tokens of a lot, or return them once it is closed."""
        if not lot.is_closed:
            lot.left += amount
            return
        lot.returned += amount
        self._report(lot)

    def advance(self, now):
        """Report lots that are used up, and return those that have run out."""
        kept = []
        for lot in self._lots:
            if lot.left > 0 and now < lot.expires:
                kept.append(lot)
                continue
            lot.returned += lot.left
            lot.left = 0
            lot.is_closed = True
            self._report(lot)
        self._lots = kept

    @property
    def is_idle(self):
        """Tell whether nothing is borrowed, asked for or to be reported."""
        return not (self._lots or self._pending_by_loan or self.reports_by_holder)

    def take_reports(self, holder):
        """Remove and return the reports for `holder`."""
        return list(self.reports_by_holder.pop(holder, {}).values())

    def restore_reports(self, holder, reports):
        """Keep reports that did not reach their holder, unless newer ones exist."""
        kept = self.reports_by_holder.setdefault(holder, {})
        for report in reports[: MAX_REPORTS - len(kept)]:
            kept.setdefault(report.loan, report)

    def _report(self, lot):
        reports = self.reports_by_holder.setdefault(lot.holder, {})
        if len(reports) >= MAX_REPORTS:
            del reports[next(iter(reports))]
        reports[lot.loan] = Report(self.workspace, lot.loan, lot.returned)
