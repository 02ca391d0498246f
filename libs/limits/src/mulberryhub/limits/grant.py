"""The tokens that an admitted request has reserved."""


class Grant:
    """The `cost` tokens debited for one request at `debited_at` in ms.

    `settle_debits(debits, unused)` refunds the unused tokens; a negative `unused`
    means that the request used more than it reserved, and adds debt.
    """

    __slots__ = ("cost", "debited_at", "_debits", "_settle_debits")

    def __init__(self, cost, debited_at, debits, settle_debits):
        self.cost = cost
        self.debited_at = debited_at
        self._debits = debits
        self._settle_debits = settle_debits

    def settle(self, used):
        """Correct the debit to `used` tokens by a refund or a debt.

        Only the first call has an effect.
        """
        debits, self._debits = self._debits, []
        unused = int(self.cost - used)
        if debits and unused:
            self._settle_debits(debits, unused)
