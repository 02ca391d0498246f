"""For how long at most a message of another router waited on its way to this one.

The clocks of two VMs run at the same speed, but differ by an unknown time. A message
that answers an earlier one was sent after that. This bounds the difference, whatever
either of the messages waited for.
"""


class TransitBound:
    """Bounds the time between the sending and the receipt of messages of a sender."""

    __slots__ = ("_least_difference",)

    def __init__(self):
        self._least_difference = None

    def learn(self, sent_at, answered_at):
        """Learn that a message was sent after `answered_at`.

        `sent_at` is in ms by the clock of its sender, `answered_at` in ms by that of
        this router: when it sent the message that was answered.
        """
        difference = answered_at - sent_at
        if self._least_difference is None or difference > self._least_difference:
            self._least_difference = difference

    def longest_wait(self, sent_at, received_at):
        """Return for how many ms at most a message waited, None if that is unknown.

        `sent_at` is None if its sender does not tell.
        """
        if sent_at is None or self._least_difference is None:
            return None
        return received_at - sent_at - self._least_difference
