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
    """Floors by workspace for one group of routers."""

    __slots__ = ("_window", "_clock", "_floors_by_workspace")

    def __init__(self, window, clock):
        self._window = window
        self._clock = clock
        self._floors_by_workspace = {}

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
