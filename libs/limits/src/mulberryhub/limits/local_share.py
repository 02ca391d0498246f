"""The holder's side of loans: this router's share of a workspace's tokens."""

from mulberryhub.limits.bucket import MAX_CLOCK_DRIFT_RATIO, Bucket

# A loan is usable for this time after the request, by the borrower's clock.
LOAN_LIFETIME_MS = 1_000
# The holder counts a loan against its burst for this time, by its own clock. It
# exceeds the lifetime by more than the two clocks can drift apart.
LOAN_RESERVATION_MS = int(LOAN_LIFETIME_MS * (1 + 4 * MAX_CLOCK_DRIFT_RATIO)) + 2
LOAN_RETENTION_MS = 600_000  # time in which a loan can be refunded
MIN_LOAN_TOKENS = 1
MAX_LOAN_COUNT = 10_000


class Loan:
    """Tokens lent to another router at `lent_at` in ms.

    `sequence` is set once the loan can no longer be used; `returned` counts the
    tokens refunded.
    """

    __slots__ = ("amount", "lent_at", "sequence", "returned")

    def __init__(self, amount, lent_at):
        self.amount = amount
        self.lent_at = lent_at
        self.sequence = None
        self.returned = 0


class LocalShare:
    """This router's share of one workspace's rate and burst.

    The bucket starts empty and fills from time `start` in ms, when loans granted by
    an earlier incarnation of the router can no longer be used.
    """

    __slots__ = ("bucket", "_loans_by_id", "_open_loan_ids")

    def __init__(self, start):
        self.bucket = Bucket(start)
        self._loans_by_id = {}
        self._open_loan_ids = {}

    @property
    def has_open_loans(self):
        """Return whether a borrower may still use a loan."""
        return bool(self._open_loan_ids)

    def lend(self, loan_id, wanted, reserve, now):
        """Lend up to `wanted` tokens, leaving `reserve`, and return the amount.

        A repeated call with the same `loan_id` returns the same amount.
        """
        self.advance(now)
        loan = self._loans_by_id.get(loan_id)
        if loan is not None:
            return loan.amount
        amount = min(wanted, self.bucket.level - reserve)
        if amount < MIN_LOAN_TOKENS:
            return 0
        self.bucket.lend(amount, now)
        self._loans_by_id[loan_id] = Loan(amount, now)
        self._open_loan_ids[loan_id] = None
        return amount

    def apply_report(self, loan_id, returned, now):
        """End a loan that its borrower no longer uses, and refund returned tokens.

        `returned` is the total of the loan over all its reports.
        """
        self.advance(now)
        loan = self._loans_by_id.get(loan_id)
        if loan is None:
            return
        self._end_loan(loan_id, now)
        returned = min(returned, loan.amount)
        if returned <= loan.returned:
            return
        self.bucket.refund(returned - loan.returned, loan.sequence, now)
        loan.returned = returned

    def advance(self, now):
        """Refill the bucket and end the loans whose reservation is over at `now`."""
        for loan_id in list(self._open_loan_ids):
            ends_at = self._loans_by_id[loan_id].lent_at + LOAN_RESERVATION_MS
            if ends_at > now:
                break
            self._end_loan(loan_id, ends_at)
        self._evict_loans(now)
        self.bucket.refill(now)

    def _end_loan(self, loan_id, now):
        if loan_id not in self._open_loan_ids:
            return
        del self._open_loan_ids[loan_id]
        loan = self._loans_by_id[loan_id]
        loan.sequence = self.bucket.end_loan(loan.amount, now)

    def _evict_loans(self, now):
        while self._loans_by_id:
            loan_id = next(iter(self._loans_by_id))
            loan = self._loans_by_id[loan_id]
            is_past_retention = loan.lent_at + LOAN_RETENTION_MS <= now
            if loan.sequence is None or not (is_past_retention or self._is_full()):
                return
            del self._loans_by_id[loan_id]

    def _is_full(self):
        return len(self._loans_by_id) > MAX_LOAN_COUNT
