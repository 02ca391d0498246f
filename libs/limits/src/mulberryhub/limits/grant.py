"""What a request was admitted with."""


class Grant:
    """Tokens debited for one request at `time` in ms.

    `give_back(parts, unused)` returns unused tokens to where they came from; where
    `unused` is negative, more were used than reserved, and they are owed.
    """

    __slots__ = ("cost", "time", "_parts", "_give_back")

    def __init__(self, cost, time, parts, give_back):
        self.cost = cost
        self.time = time
        self._parts = parts
        self._give_back = give_back

    def settle(self, used):
        """Return the tokens beyond `used`, or owe them; later calls change nothing."""
        parts, self._parts = self._parts, []
        unused = int(self.cost - used)
        if parts and unused:
            self._give_back(parts, unused)
