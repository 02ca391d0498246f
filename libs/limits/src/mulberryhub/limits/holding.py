"""The holder's side of a workspace: a share of its bucket, and loans from it."""

from mulberryhub.limits.bucket import MAX_DRIFT, Bucket

LOAN_TIME = 1_000  # ms from the ask, by the asker's clock, that a loan is usable
CLOSED_TIME = int(LOAN_TIME * (1 + 4 * MAX_DRIFT)) + 2  # ms that its room is closed
KEPT_TIME = 600_000  # ms that a loan can be refunded
LEAST_LOAN = 1  # token
MAX_LOANS = 10_000  # loans


class Loan:
    """Tokens debited for a peer; `mark` is set once they can no longer be used."""

    __slots__ = ("amount", "time", "mark", "returned")

    def __init__(self, amount, time):
        self.amount = amount
        self.time = time
        self.mark = None
        self.returned = 0


class Holding:
    """A share of one workspace's rate and burst that this router keeps.

    The bucket fills from empty from the time `start` in ms on, when no loan of an
    earlier run of the router can be used any more.
    """

    __slots__ = ("bucket", "_loans_by_id", "_open_ids")

    def __init__(self, start):
        self.bucket = Bucket(start)
        self._loans_by_id = {}
        self._open_ids = {}

    @property
    def has_open_loans(self):
        """Tell whether a loan may still be used."""
        return bool(self._open_ids)

    def lend(self, loan_id, wanted, reserve, now):
        """Debit up to `wanted` tokens above `reserve` and return how many.

        A repeat of the same `loan_id` gets the same answer.
        """
        self.advance(now)
        loan = self._loans_by_id.get(loan_id)
        if loan is not None:
            return loan.amount
        amount = min(wanted, self.bucket.level - reserve)
        if amount < LEAST_LOAN:
            return 0
        self.bucket.lend(amount, now)
        self._loans_by_id[loan_id] = Loan(amount, now)
        self._open_ids[loan_id] = None
        return amount

    def report(self, loan_id, returned, now):
        """Take note that a loan is not used any more; `returned` is a total."""
        self.advance(now)
        loan = self._loans_by_id.get(loan_id)
        if loan is None:
            return
        self._close(loan_id, now)
        returned = min(returned, loan.amount)
        if returned <= loan.returned:
            return
        self.bucket.refund(returned - loan.returned, loan.mark, now)
        loan.returned = returned

    def advance(self, now):
        """Refill the bucket and open the room of loans that have run out."""
        for loan_id in list(self._open_ids):
            end = self._loans_by_id[loan_id].time + CLOSED_TIME
            if end > now:
                break
            self._close(loan_id, end)
        self._forget(now)
        self.bucket.refill(now)

    def _close(self, loan_id, now):
        if loan_id not in self._open_ids:
            return
        del self._open_ids[loan_id]
        loan = self._loans_by_id[loan_id]
        loan.mark = self.bucket.reopen(loan.amount, now)

    def _forget(self, now):
        while self._loans_by_id:
            loan_id = next(iter(self._loans_by_id))
            loan = self._loans_by_id[loan_id]
            is_old = loan.time + KEPT_TIME <= now
            if loan.mark is None or not (is_old or self._is_full()):
                return
            del self._loans_by_id[loan_id]

    def _is_full(self):
        return len(self._loans_by_id) > MAX_LOANS
