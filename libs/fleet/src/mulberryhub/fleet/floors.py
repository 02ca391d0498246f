"""Least amounts that must still be counted after the routers that told them ended.

What was admitted in a window counts until the window has passed, also where the
router that admitted it was restarted and knows nothing of it any more.
"""


class Floor:
    """An amount that was told at a time in ms."""

    __slots__ = ("amount", "at")

    def __init__(self, amount, at):
        self.amount = amount
        self.at = at

    def left(self, now, window):
        """Return what still counts: all of it at first, nothing after `window` ms."""
        return self.amount * max(0, 1 - (now - self.at) / window)


class Floors:
    """Floors by workspace for one group of routers.

    They hold only while the group may have forgotten something: a router is missing,
    or one has run for less than a window. Else what the group tells is exact.
    """

    __slots__ = (
        "_window",
        "_clock",
        "_floors_by_workspace",
        "_routers",
        "_complete_at",
    )

    def __init__(self, window, clock):
        self._window = window
        self._clock = clock
        self._floors_by_workspace = {}
        self._routers = 0
        self._complete_at = clock.now()

    def told(self, use):
        """Return the amounts of a group's Use, none below its floor."""
        amounts = use.window_by_workspace
        if not self._is_complete(use.routers) or use.youngest < self._window:
            return self.raised(amounts)
        now = self._clock.now()
        self._floors_by_workspace = {
            name: Floor(amount, now) for name, amount in amounts.items()
        }
        return dict(amounts)

    def raised(self, amounts):
        """Return `amounts` by workspace, none of them below its floor."""
        now = self._clock.now()
        raised = dict(amounts)
        for name, floor in list(self._floors_by_workspace.items()):
            left = floor.left(now, self._window)
            if left <= 0:
                del self._floors_by_workspace[name]
            elif left > raised.get(name, 0):
                raised[name] = left
        for name, amount in raised.items():
            floor = self._floors_by_workspace.get(name)
            if floor is None or amount > floor.left(now, self._window):
                self._floors_by_workspace[name] = Floor(amount, now)
        return raised

    def _is_complete(self, routers):
        """Tell whether no router has gone missing in the last window."""
        now = self._clock.now()
        if routers >= self._routers or now - self._complete_at > self._window:
            self._routers = routers
            self._complete_at = now
            return True
        return False
