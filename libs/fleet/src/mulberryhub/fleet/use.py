"""The use that routers make of workspaces' rates and upstreams, summed over them."""

from mulberryhub.fleet.admissions import AdmittedHistory, SlotSums, window_total
from mulberryhub.fleet.records import Use

FRESH = 2_000  # ms for which a router's last report counts
SUM_AGE = 250  # ms after which reports are summed anew where nobody is told of them


class Reported:
    """A use, the ms at which it was told, and the number of the report."""

    __slots__ = ("use", "at", "number")

    def __init__(self, use, at, number=None):
        self.use = use
        self.at = at
        self.number = number


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
        "data_centre",
        "_window",
        "_reported_by_name",
        "_told",
        "_summed",
        "_told_elsewhere",
        "_reported_by_data_centre",
        "_history_by_data_centre",
    )

    def __init__(self, measure, data_centre, window, clock):
        self._measure = measure
        self._clock = clock
        self.data_centre = data_centre
        self._window = window
        self._reported_by_name = {}
        self._told = None
        self._summed = None
        self._told_elsewhere = None
        self._reported_by_data_centre = {}
        self._history_by_data_centre = {data_centre: AdmittedHistory(window, clock)}

    def own(self):
        """Return the use of this router."""
        return self._measure()

    def note_report(self, name, use, remembered, number=None):
        """Take what the subscriber `name` reported.

        `remembered` is what it knows that was admitted, by data centre.
        """
        self._reported_by_name[name] = Reported(use, self._clock.now(), number)
        self._note_admitted(remembered)

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

    def number_counted(self, name):
        """Return the number of the report of `name` that counts, or None."""
        reported = self._reported_by_name.get(name)
        return None if reported is None else reported.number

    def here(self, slots=None):
        """Return the use of this router and its subscribers, summed now.

        Of what was admitted, it tells the newest `slots`, or all.
        """
        now = self._clock.now()
        own = Reported(self.own(), now)
        total = Use(routers=0)
        sums = SlotSums()
        for reported in [own, *self._fresh(self._reported_by_name.values())]:
            total.add(reported.use)
            sums.add(reported.use.admitted, reported.at)
        history = self._history(self.data_centre)
        history.note_sums(sums)
        self._summed = Told(total, own.use, now)
        total.admitted = history.admitted().newest(slots)
        return total

    def note_told(self, use, counted):
        """Take the use of this data centre that its publisher told.

        `counted` is the part of it that is this router's own.
        """
        self._told = Told(use, counted, self._clock.now())
        self._history(self.data_centre).note(use.admitted)

    def note_told_elsewhere(self, use, admitted_by_data_centre):
        """Take the use of other data centres together, and what each admitted."""
        self._told_elsewhere = Reported(use, self._clock.now())
        self._note_admitted(admitted_by_data_centre)

    def note_elsewhere(self, data_centre, use, admitted_by_data_centre):
        """Take the use of another data centre that its reader told.

        What it knows that was admitted here counts, as after a restart of all routers.
        """
        self._reported_by_data_centre[data_centre] = Reported(use, self._clock.now())
        self._history(data_centre).note(use.admitted)
        self._note_admitted(admitted_by_data_centre)

    def elsewhere(self):
        """Return the use of other data centres together."""
        total = Use(routers=0)
        if self._told_elsewhere is not None and self._is_fresh(self._told_elsewhere):
            total.add(self._told_elsewhere.use)
            return total
        for reported in self._fresh(self._reported_by_data_centre.values()):
            total.add(reported.use)
        return total

    def admitted_elsewhere(self, slots=None):
        """Return what other data centres Admitted, the newest `slots` or all."""
        return {
            data_centre: history.admitted().newest(slots)
            for data_centre, history in self._history_by_data_centre.items()
            if data_centre != self.data_centre
        }

    def known_of(self, data_centre):
        """Return what a data centre is known to have Admitted."""
        return self._history(data_centre).admitted()

    def others(self):
        """Return the use of all other routers, or None where it is not known.

        What they admitted is not part of it, see `admitted_by_others()`.
        """
        total = Use(routers=0)
        total.add(self._here_told().without_own())
        total.add(self.elsewhere())
        return total if total.routers else None

    def admitted_by_others(self, workspace):
        """Return what all other routers are known to have admitted in the window."""
        told = self._here_told()
        total = sum(
            history.total(workspace)
            for history in self._history_by_data_centre.values()
        )
        if told.counted is None:
            return total
        sums = SlotSums()
        sums.add(told.counted.admitted.of(workspace), told.at)
        own = sums.by_workspace.get(workspace, {})
        return max(0, total - window_total(own, self._clock.now(), self._window))

    def _here_told(self):
        """Return the Told use of this data centre, by its publisher or summed here."""
        if self._told is not None and self._is_fresh(self._told):
            return self._told
        if self._summed is None or self._clock.now() - self._summed.at > SUM_AGE:
            self.here()
        return self._summed

    def _note_admitted(self, admitted_by_data_centre):
        for data_centre, admitted in admitted_by_data_centre.items():
            self._history(data_centre).note(admitted)

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
