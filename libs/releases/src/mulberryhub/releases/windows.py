"""Outcomes by the time in which they became known."""

from math import inf

from mulberryhub.releases.outcomes import Outcomes

WINDOW_MS = 500  # a crash or stall of one upstream falls into one or two windows
MAX_WINDOWS = 64  # of the decider's memory and time; longer releases merge old windows


class Windows:
    """The outcomes of a release in successive windows, oldest first.

    Addresses changes that affect both versions in the same way, such as a rise in load:
    the versions are compared window by window, so it does not matter that the target's
    share was larger in some of them. `items` are the Outcomes of the closed windows.
    `settled_times` has, for each, the ms for which the share had been alike when it
    began, as a comparison may begin only where it was: slow responses are known later
    than fast ones, so after a fall of its share most outcomes of the target are slow.
    """

    __slots__ = ("items", "settled_times", "_settled", "_began", "_closed")

    def __init__(self):
        self.items = []
        self.settled_times = []
        self._settled = inf  # that of the open window
        self._began = None  # age in ms at which the open window began
        self._closed = Outcomes()  # the outcomes until then

    def is_due(self, age):
        """Return whether a window is to be closed at `age` ms."""
        return self._began is None or age - self._began >= WINDOW_MS

    def close(self, age, outcomes, settled):
        """Close the open window at `age` ms with the outcomes that are known then.

        `settled` is the ms for which the share has been alike.
        """
        self._began = age
        self.items.append(outcomes_since(outcomes, self._closed))
        self.settled_times.append(self._settled)
        self._settled = settled
        self._closed = outcomes
        if len(self.items) > MAX_WINDOWS:
            _merge_pairs(self.items, self.settled_times)

    def total(self):
        """Return the sum of all windows."""
        total = Outcomes()
        for item in self.items:
            add_outcomes(total, item)
        return total


def outcomes_since(outcomes, earlier):
    """Return the outcomes that `earlier` does not include."""
    rest = Outcomes()
    for group in outcomes.groups:
        rest.target_by_group[group] = outcomes.target(group).minus(
            earlier.target(group)
        )
        rest.old_by_group[group] = outcomes.old(group).minus(earlier.old(group))
    return rest


def add_outcomes(total, item):
    """Add the outcomes of `item` to `total`."""
    for group in item.groups:
        for by_group, tally in (
            (total.target_by_group, item.target(group)),
            (total.old_by_group, item.old(group)),
        ):
            if group not in by_group:
                by_group[group] = tally.minus(type(tally)())
            else:
                by_group[group].add(tally)


def _merge_pairs(items, settled_times):
    """Merge the older half of the windows two by two."""
    half = len(items) // 4 * 2
    for earlier, later in zip(items[0:half:2], items[1:half:2]):
        add_outcomes(earlier, later)
    del items[1:half:2], settled_times[1:half:2]
