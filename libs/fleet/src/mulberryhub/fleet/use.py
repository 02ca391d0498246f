"""The use that routers make of workspaces' rates and upstreams, summed over them."""

from mulberryhub.fleet.admissions import AdmittedHistory, SlotSums, window_total
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
        "_history_by_data_centre",
    )

    def __init__(self, measure, data_centre, window, clock):
        self._measure = measure
        self._clock = clock
        self._data_centre = data_centre
        self._window = window
        self._reported_by_name = {}
        self._told = None
        self._reported_by_data_centre = {}
        self._history_by_data_centre = {data_centre: AdmittedHistory(window, clock)}

    def own(self):
        """Return the use of this router."""
        return self._measure()

    def note_report(self, name, use, remembered):
        """Take what the subscriber `name` reported.

        `remembered` is what it knows that was admitted, by data centre.
        """
        self._reported_by_name[name] = Reported(use, self._clock.now())
        for data_centre, admitted in remembered.items():
            self._history(data_centre).note(admitted)

    def remembered(self):
        """Return what was Admitted by data centre, also by routers that ended."""
        return {
            data_centre: history.admitted()
            for data_centre, history in self._history_by_data_centre.items()
        }

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
        own = Reported(self.own(), self._clock.now())
        sums = SlotSums()
        for reported in [own, *self._fresh(self._reported_by_name.values())]:
            total.add(reported.use)
            sums.add(reported.use.admitted, reported.at)
        history = self._history(self._data_centre)
        history.note_sums(sums)
        total.admitted = history.admitted()
        return total

    def note_told(self, use, counted):
        """Take the use of this data centre that its publisher told.

        `counted` is the part of it that is this router's own.
        """
        self._told = Told(use, counted, self._clock.now())
        self._history(self._data_centre).note(use.admitted)

    def note_elsewhere(self, data_centre, use):
        """Take what is known of a data centre's use.

        Of this data centre only what it admitted is taken: others remember it
        where its routers were restarted.
        """
        self._history(data_centre).note(use.admitted)
        if data_centre != self._data_centre:
            reported = Reported(use, self._clock.now())
            self._reported_by_data_centre[data_centre] = reported

    def elsewhere(self):
        """Return the use of other data centres by their name."""
        return {
            name: self.known_of(name)
            for name in self._history_by_data_centre
            if name != self._data_centre
        }

    def known_of(self, data_centre):
        """Return the use of another data centre, with all that it admitted."""
        use = Use(routers=0)
        reported = self._reported_by_data_centre.get(data_centre)
        if reported is not None and self._is_fresh(reported):
            use.add(reported.use)
        use.admitted = self._history(data_centre).admitted()
        return use

    def others(self):
        """Return the use of all other routers, or None where it is not known.

        What they admitted is not part of it, see `admitted_by_others()`.
        """
        total = Use(routers=0)
        if self._told is not None and self._is_fresh(self._told):
            total.add(self._told.without_own())
        else:
            own = self.own()
            for reported in self._fresh(self._reported_by_name.values()):
                total.add(reported.use)
            total.youngest = min(total.youngest, own.youngest)
        for name, reported in self._reported_by_data_centre.items():
            if name != self._data_centre and self._is_fresh(reported):
                total.add(reported.use)
        return total if total.routers else None

    def admitted_by_others(self, workspace):
        """Return what all other routers are known to have admitted in the window."""
        total = sum(
            history.total(workspace)
            for history in self._history_by_data_centre.values()
        )
        return max(0, total - self._own_part(workspace))

    def _own_part(self, workspace):
        """Return what of this data centre's history is this router's own."""
        if self._told is not None and self._is_fresh(self._told):
            part = None if self._told.counted is None else self._told.counted
            told_at = self._told.at
        else:
            self.here()
            part = self.own()
            told_at = self._clock.now()
        if part is None:
            return 0
        sums = SlotSums()
        sums.add(part.admitted, told_at)
        amounts = sums.by_workspace.get(workspace, {})
        return window_total(amounts, self._clock.now(), self._window)

    def _history(self, data_centre):
        history = self._history_by_data_centre.get(data_centre)
        if history is None:
            history = AdmittedHistory(self._window, self._clock)
            self._history_by_data_centre[data_centre] = history
        return history

    def _fresh(self, items):
        return [item for item in items if self._is_fresh(item)]

    def _is_fresh(self, item):
        return self._clock.now() - item.at <= FRESH
