"""The use that routers make of workspaces' rates and upstreams, summed over them."""

from mulberryhub.fleet.floors import Floors
from mulberryhub.fleet.records import Use

FRESH = 2_000  # ms for which a router's last report counts


class Reported:
    """A use and the ms at which it was told."""

    __slots__ = ("use", "at")

    def __init__(self, use, at):
        self.use = use
        self.at = at


class Told:
    """The use of a data centre with this router's part in it."""

    __slots__ = ("use", "counted", "at")

    def __init__(self, use, counted, at):
        self.use = use
        self.counted = counted
        self.at = at

    def without_own(self):
        """Return the use of the other routers of the data centre."""
        if self.counted is None:
            return self.use
        return self.use.less(self.counted)


class UseTable:
    """The use of this router, of its subscribers, and of other data centres.

    `measure()` returns the Use of this router itself, `window` is the ms in which
    what was admitted counts.
    """

    __slots__ = (
        "_measure",
        "_clock",
        "_data_centre",
        "_window",
        "_reported_by_name",
        "_told",
        "_reported_by_data_centre",
        "_floors_here",
        "_floors_of_others",
    )

    def __init__(self, measure, data_centre, window, clock):
        self._measure = measure
        self._clock = clock
        self._data_centre = data_centre
        self._window = window
        self._reported_by_name = {}
        self._told = None
        self._reported_by_data_centre = {}
        self._floors_here = Floors(window, clock)
        self._floors_of_others = Floors(window, clock)

    def own(self):
        """Return the use of this router."""
        return self._measure()

    def note_report(self, name, use):
        """Take what the subscriber `name` reported."""
        self._reported_by_name[name] = Reported(use, self._clock.now())

    def forget(self, name):
        """Drop what the subscriber `name` reported."""
        self._reported_by_name.pop(name, None)

    def counted_for(self, name):
        """Return what counts for the subscriber `name`, or None."""
        reported = self._reported_by_name.get(name)
        return None if reported is None else reported.use

    def here(self):
        """Return the use of this router and its subscribers."""
        total = Use(routers=0)
        total.add(self.own())
        for reported in self._fresh(self._reported_by_name.values()):
            total.add(reported.use)
        total.window_by_workspace = self._floors_here.raised(total.window_by_workspace)
        return total

    def note_told(self, use, counted):
        """Take the use of this data centre that its publisher told.

        `counted` is the part of it that is this router's own.
        """
        self._told = Told(use, counted, self._clock.now())
        self._floors_here.raised(use.window_by_workspace)

    def note_elsewhere(self, data_centre, use):
        """Take the use of another data centre."""
        if data_centre != self._data_centre:
            reported = Reported(use, self._clock.now())
            self._reported_by_data_centre[data_centre] = reported

    def elsewhere(self):
        """Return the fresh use of other data centres by their name."""
        return {
            name: reported.use
            for name, reported in self._reported_by_data_centre.items()
            if self._is_fresh(reported)
        }

    def others(self):
        """Return the use of all other routers, or None where it is not known."""
        total = Use(routers=0)
        if self._told is not None and self._is_fresh(self._told):
            total.add(self._told.without_own())
        else:
            for reported in self._fresh(self._reported_by_name.values()):
                total.add(reported.use)
        for reported in self._fresh(self._reported_by_data_centre.values()):
            total.add(reported.use)
        if not total.routers:
            return None
        windows = self._floors_of_others.raised(total.window_by_workspace)
        total.window_by_workspace = windows
        return total

    def _fresh(self, items):
        return [item for item in items if self._is_fresh(item)]

    def _is_fresh(self, item):
        return self._clock.now() - item.at <= FRESH
