"""Follows other routers in turn while this router's own reads of the store fail."""

from random import random

FALLBACK_TIMEOUT_MS = 1_500  # for a fallback source to provide current data


class FallbackSource:
    """A router that is followed besides the usual one, if any.

    `open(member)` returns a started Subscription, `is_current()` whether this router's
    data is fresh.
    """

    __slots__ = (
        "_open",
        "_is_current",
        "_reachability",
        "_clock",
        "_subscription",
        "_since",
        "_tried_names",
    )

    def __init__(self, open, is_current, reachability, clock):
        self._open = open
        self._is_current = is_current
        self._reachability = reachability
        self._clock = clock
        self._subscription = None
        self._since = 0
        self._tried_names = set()

    @property
    def subscription(self):
        """Return the Subscription, or None."""
        return self._subscription

    def follow(self, candidates, current_names):
        """Follow one of the candidates, and the next one if it has no current data.

        Those in `current_names` have current data and come first. The others follow in
        random order, those that do not answer last.
        """
        now = self._clock.now()
        if self._subscription is not None:
            if self._is_current() or now - self._since < FALLBACK_TIMEOUT_MS:
                return
            self._close()
        due = [item for item in candidates if self._reachability.is_due(item)]
        if not due:
            return
        if all(item.name in self._tried_names for item in due):
            self._tried_names.clear()
        member = min(due, key=lambda item: self._preference(item, current_names))
        self._tried_names.add(member.name)
        self._subscription = self._open(member)
        self._since = now

    def stop(self):
        """End the subscription, as the router's own reads succeed."""
        self._tried_names.clear()
        self._close()

    def drop(self):
        """Drop a subscription that ended by itself."""
        self._subscription = None

    def _close(self):
        if self._subscription is not None:
            self._subscription.close()
            self._subscription = None

    def _preference(self, member, current_names):
        return (
            member.name in self._tried_names,
            self._reachability.is_unreachable(member),
            member.name not in current_names,
            random(),
        )
