"""Which routers this one fails to reach, and when it tries them again.

Records of routers that were removed stay in the store. A router that did not answer is
therefore not followed again before it answers, and further attempts are limited.
"""

INITIAL_BACKOFF_MS = 2_000  # without connections to a member after a failure
MAX_BACKOFF_MS = 16_000
# Limits the rate of attempts to members that never answered: the least backoff of one
# for each member that failed. It may exceed MAX_BACKOFF_MS.
BACKOFF_MS_PER_MEMBER = 250


class Failures:
    """The failures to reach a member since it last answered.

    The record of the member had `offset`. The member is not contacted before `until`
    (clock ms).
    """

    __slots__ = ("count", "until", "next_delay", "offset")

    def __init__(self, offset):
        self.count = 0
        self.until = 0
        self.next_delay = INITIAL_BACKOFF_MS
        self.offset = offset


class Reachability:
    """Records which members answer; a newer record of a member is a new start of it."""

    __slots__ = ("_failures_by_name", "_answered_names", "_failed_in_turn", "_clock")

    def __init__(self, clock):
        self._failures_by_name = {}
        self._answered_names = set()
        self._failed_in_turn = {}
        self._clock = clock

    def record_answer(self, member):
        """Record that a member answered."""
        self._answered_names.add(member.name)
        self._failed_in_turn.pop(member.data_centre, None)
        failures = self._failures_of(member)
        if failures is not None:
            failures.count = 0

    def record_failure(self, member, opened_at, is_probe=False):
        """Record that a connection to a member, opened at `opened_at` ms, ended."""
        now = self._clock.now()
        failures = self._failures_of(member)
        if failures is None or now - opened_at > MAX_BACKOFF_MS:
            failures = self._failures_by_name[member.name] = Failures(member.offset)
        failures.count += 1
        failures.until = now + max(failures.next_delay, self._min_backoff(member))
        failures.next_delay = min(failures.next_delay * 2, MAX_BACKOFF_MS)
        if not is_probe:
            failed_in_turn = self._failed_in_turn.get(member.data_centre, 0)
            self._failed_in_turn[member.data_centre] = failed_in_turn + 1

    def is_unreachable(self, member):
        """Return whether the last attempt to reach a member failed."""
        failures = self._failures_by_name.get(member.name)
        return (
            failures is not None
            and failures.count > 0
            and member.offset <= failures.offset
        )

    def is_due(self, member):
        """Return whether a member may be contacted."""
        failures = self._failures_of(member)
        return failures is None or self._clock.now() >= failures.until

    def may_try_again(self, member):
        """Return whether a member that failed just once since an answer is due."""
        failures = self._failures_of(member)
        return (
            failures is not None
            and failures.count == 1
            and self._clock.now() >= failures.until
        )

    def urgency(self, member):
        """Return the sort key that orders members that are due, the first one first.

        Those that never failed come first, then those that answered once.
        """
        failures = self._failures_of(member)
        if failures is None:
            return 0, 0
        return 1 + (member.name not in self._answered_names), failures.until

    def failed_in_turn(self, data_centre):
        """Return how many members were followed in vain since one answered."""
        return self._failed_in_turn.get(data_centre, 0)

    def _failures_of(self, member):
        failures = self._failures_by_name.get(member.name)
        if failures is None or member.offset > failures.offset:
            return None
        return failures

    def _min_backoff(self, member):
        if member.name in self._answered_names:
            return 0
        return BACKOFF_MS_PER_MEMBER * len(self._failures_by_name)
