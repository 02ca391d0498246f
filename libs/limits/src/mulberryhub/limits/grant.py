"""What a request was admitted with."""


class Grant:
    """Tokens debited for one request at `time` in ms.

    `give_back(parts, unused)` returns unused tokens to where they came from; where
    `unused` is negative, more were used than reserved, and they are owed.
    """

    __slots__ = ("cost", "time", "_debits", "_settle_debits")

    def __init__(self, cost, time, debits, settle_debits):
        self.cost = cost
        self.time = time
        self._debits = debits
        self._settle_debits = settle_debits

    def settle(self, used):
        """Return the tokens beyond `used`, or owe them; later calls change nothing."""
        debits, self._debits = self._debits, []
        unused = int(self.cost - used)
        if debits and unused:
            self._settle_debits(debits, unused)
