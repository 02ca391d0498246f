"""How long messages of a connection waited on the way or at their receiver."""


class TransitDelay:
    """Compares when messages were sent and received, each by a clock of its own.

    The clocks run at the same speed, so a message that arrives later than the fastest
    one did has waited for the difference.
    """

    __slots__ = ("_least_difference",)

    def __init__(self):
        self._least_difference = None

    def measure(self, sent_at, received_at):
        """Return for how many ms a message waited, beyond the fastest one.

        `sent_at` is None if its sender does not tell.
        """
        if sent_at is None:
            return 0
        difference = received_at - sent_at
        if self._least_difference is None or difference < self._least_difference:
            self._least_difference = difference
        return difference - self._least_difference
