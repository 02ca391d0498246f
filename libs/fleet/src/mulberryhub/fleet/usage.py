"""The usage of workspace rates and upstreams, summed over routers."""

from math import ceil

from msgspec import structs

from mulberryhub.fleet.admissions import (
    SLOT_MS,
    AdmissionHistory,
    Admitted,
    SlotSums,
    window_total,
)
from mulberryhub.fleet.contact import Contact
from mulberryhub.fleet.records import Usage

MAX_REPORT_AGE_MS = 1_000  # of a router's last report that is included
MAX_PUBLICATION_AGE_MS = 2_000  # of the sums that a publisher sent
MAX_COUNTS_AGE_MS = 1_500  # of release counts, which are not in each message
MAX_SUM_AGE_MS = 250  # of a sum, after which it is made again on demand
# The newest slots, in each report and update as they may still change. So they are in
# the next sums, whenever a router was heard last.
REPORTED_SLOT_COUNT = 4
PUBLISHED_SLOT_COUNT = 5
AMENDED_TIME_MS = 1_000  # for which all slots are passed on once an older one changed
REPORT_DELAY_MS = 500  # in which admissions may be unreported
NO_ADMISSIONS = Admitted()


class ReportedUsage:
    """A usage report, the ms at which it was received, and its number.

    `counted_at` is when a report had the outcomes of releases, which are not in each.
    """

    __slots__ = ("usage", "updated_at", "number", "counted_at")

    def __init__(self, usage, updated_at, number=None):
        self.usage = usage
        self.updated_at = updated_at
        self.number = number
        self.counted_at = updated_at

    def keep_release_counts(self, before):
        """Take the outcomes of releases from the report `before`, if this has none."""
        if _keeps_counts(self, before):
            self.usage.release_counts = before.usage.release_counts
            self.counted_at = before.counted_at


def _keeps_counts(item, before):
    """Return whether the release counts of `before` hold, as `item` has none."""
    if before is None or item.usage.release_counts:
        return False
    return item.updated_at - before.counted_at <= MAX_COUNTS_AGE_MS


class DataCentreUsage:
    """The total usage of a data centre, with this router's own part in it.

    `updated_at` is the ms at which it was received or summed, and `counted_at` that of
    its outcomes of releases.
    """

    __slots__ = ("usage", "own_part", "updated_at", "counted_at")

    def __init__(self, usage, own_part, updated_at):
        self.usage = usage
        self.own_part = own_part
        self.updated_at = updated_at
        self.counted_at = updated_at

    def keep_release_counts(self, before):
        """Take the outcomes of releases from the usage `before`, if this has none.

        Both parts are of the same time, as otherwise the difference would fall.
        """
        if not _keeps_counts(self, before):
            return
        self.usage.release_counts = before.usage.release_counts
        if self.own_part is not None and before.own_part is not None:
            counts = before.own_part.release_counts
            self.own_part = structs.replace(self.own_part, release_counts=counts)
        self.counted_at = before.counted_at

    def without_own(self):
        """Return the usage of the other routers of the data centre."""
        if self.own_part is None:
            return self.usage
        return self.usage.minus(self.own_part)


class UsageTable:
    """The usage of this router, of its subscribers, and of other data centres.

    `measure()` returns the Usage of this router itself; `window` is the quota window in
    ms.
    """

    __slots__ = (
        "_measure",
        "_clock",
        "data_centre",
        "_window",
        "_reported_by_name",
        "_published",
        "_local_sum",
        "_published_remote",
        "_remote_by_data_centre",
        "_history_by_data_centre",
        "_contact",
        "_local_amended_at",
        "_remote_amended_at",
    )

    def __init__(self, measure, data_centre, window, clock):
        self._measure = measure
        self._clock = clock
        self.data_centre = data_centre
        self._window = window
        self._reported_by_name = {}
        self._published = None
        self._local_sum = None
        self._published_remote = None
        self._remote_by_data_centre = {}
        self._history_by_data_centre = {data_centre: AdmissionHistory(window, clock)}
        self._contact = Contact(clock)
        self._local_amended_at = None
        self._remote_amended_at = None

    def own(self):
        """Return the usage of this router."""
        return self._measure()

    def record_report(
        self, name, usage, admitted_by_data_centre, number=None, unshared=NO_ADMISSIONS
    ):
        """Record the report of the subscriber `name`.

        `admitted_by_data_centre` holds the admissions known to the subscriber, and
        `unshared` its own of the time in which it heard no other router.
        """
        self._contact.record_news()
        reported = ReportedUsage(usage, self._clock.now(), number)
        reported.keep_release_counts(self._reported_by_name.get(name))
        self._reported_by_name[name] = reported
        self._merge_admitted(admitted_by_data_centre)
        self._add_unshared(unshared)
        self._add_unshared(self.take_unshared())

    def take_unshared(self):
        """Return what this router admitted while it heard no other, only once.

        The newest slots are left out, as they are in the next sums in any case.
        """
        since = self._contact.take_unshared_since()
        if since is None:
            return NO_ADMISSIONS
        admitted = self.own().admitted
        duration = self._clock.now() - admitted.phase - since + REPORT_DELAY_MS
        last = 1 + ceil(max(0, duration) / SLOT_MS)
        return admitted.between(REPORTED_SLOT_COUNT, last)

    def news_age(self):
        """Return the ms since another router was heard, or since the start."""
        return self._contact.news_age()

    def admitted_by_data_centre(self):
        """Return the known Admitted by data centre, including stopped routers."""
        return {
            data_centre: history.admitted()
            for data_centre, history in self._history_by_data_centre.items()
        }

    def forget(self, name):
        """Drop the report of the subscriber `name`."""
        self._reported_by_name.pop(name, None)

    def reported_usage(self, name):
        """Return the usage included for the subscriber `name`, or None."""
        reported = self._reported_by_name.get(name)
        return None if reported is None else reported.usage

    def acked_report_number(self, name):
        """Return the number of the report of `name` that is included, or None."""
        reported = self._reported_by_name.get(name)
        return None if reported is None else reported.number

    def sum_local(self, slots=None):
        """Return the usage of this router and its subscribers, summed now.

        `admitted` has the newest `slots` slots, or all if `slots` is None.
        """
        now = self._clock.now()
        own = ReportedUsage(self.own(), now)
        total = Usage(routers=0)
        sums = SlotSums()
        for reported in [own, *self._recent(self._reported_by_name.values())]:
            total.add(reported.usage)
            sums.add(reported.usage.admitted, reported.updated_at)
        history = self._history(self.data_centre)
        history.merge_sums(sums)
        self._local_sum = DataCentreUsage(total, own.usage, now)
        if self._is_amended(self._local_amended_at):
            slots = None
        total.admitted = history.admitted().newest(slots)
        return total

    def record_local(self, usage, own_part):
        """Record the usage of this data centre that its publisher sent.

        `own_part` is this router's own part of it.
        """
        self._contact.record_news()
        published = DataCentreUsage(usage, own_part, self._clock.now())
        published.keep_release_counts(self._published)
        self._published = published
        self._history(self.data_centre).merge(usage.admitted)

    def record_remote_total(self, usage, admitted_by_data_centre):
        """Record the total usage of other data centres, and what each admitted."""
        reported = ReportedUsage(usage, self._clock.now())
        reported.keep_release_counts(self._published_remote)
        self._published_remote = reported
        self._merge_admitted(admitted_by_data_centre)

    def record_remote(self, data_centre, usage, admitted_by_data_centre):
        """Record the usage of another data centre that its leader sent.

        The admissions here that it reports are merged too, as they are the only source
        after a restart of all local routers.
        """
        self._contact.record_news()
        if usage.admitted.slot_count() > PUBLISHED_SLOT_COUNT:
            self._remote_amended_at = self._clock.now()
        self._remote_by_data_centre[data_centre] = ReportedUsage(
            usage, self._clock.now()
        )
        self._history(data_centre).merge(usage.admitted)
        self._merge_admitted(admitted_by_data_centre)

    def remote(self):
        """Return the total usage of other data centres."""
        total = Usage(routers=0)
        if self._published_remote is not None and self._is_published_lately():
            total.add(self._published_remote.usage)
            return total
        for data_centre, reported in self._remote_by_data_centre.items():
            if self._is_recent(reported):
                total.add(reported.usage)
                total.routers_by_data_centre[data_centre] = reported.usage.routers
        return total

    def heard_data_centres(self, max_age):
        """Return the other data centres whose usage is known from `max_age` ms ago.

        A sum that a publisher sent includes reports of up to MAX_REPORT_AGE_MS.
        """
        if self._published_remote is not None and self._is_published_lately():
            age = self._clock.now() - self._published_remote.updated_at
            if age + MAX_REPORT_AGE_MS > max_age:
                return frozenset()
            counts = self._published_remote.usage.routers_by_data_centre
            return frozenset(name for name, count in counts.items() if count)
        remote = self._remote_by_data_centre.items()
        return frozenset(name for name, item in remote if self._is_recent(item))

    def remote_admitted(self, slots=None):
        """Return the Admitted of other data centres, the newest `slots` or all."""
        if self._is_amended(self._remote_amended_at):
            slots = None
        return {
            data_centre: history.admitted().newest(slots)
            for data_centre, history in self._history_by_data_centre.items()
            if data_centre != self.data_centre
        }

    def admitted_in(self, data_centre):
        """Return the known Admitted of a data centre."""
        return self._history(data_centre).admitted()

    def others(self):
        """Return the usage of all other routers, or None if it is not known.

        What they admitted is not included; see `admitted_by_others()`.
        """
        total = Usage(routers=0)
        total.add(self._local_usage().without_own())
        total.add(self.remote())
        return total if total.routers else None

    def admitted_by_others(self, workspace):
        """Return the amount known to be admitted by other routers in the window."""
        local = self._local_usage()
        total = sum(
            history.total(workspace)
            for history in self._history_by_data_centre.values()
        )
        if local.own_part is None:
            return total
        sums = SlotSums()
        sums.add(local.own_part.admitted.of(workspace), local.updated_at)
        own = sums.by_workspace.get(workspace, {})
        return max(0, total - window_total(own, self._clock.now(), self._window))

    def _local_usage(self):
        """Return this data centre's usage, published by its leader or summed here."""
        if self._published is not None and self._is_published_lately():
            return self._published
        if (
            self._local_sum is None
            or self._clock.now() - self._local_sum.updated_at > MAX_SUM_AGE_MS
        ):
            self.sum_local()
        return self._local_sum

    def _add_unshared(self, unshared):
        if unshared.slots_by_workspace:
            self._history(self.data_centre).add(unshared)
            self._local_amended_at = self._clock.now()

    def _is_amended(self, amended_at):
        return (
            amended_at is not None and self._clock.now() - amended_at <= AMENDED_TIME_MS
        )

    def _merge_admitted(self, admitted_by_data_centre):
        for data_centre, admitted in admitted_by_data_centre.items():
            self._history(data_centre).merge(admitted)

    def _history(self, data_centre):
        history = self._history_by_data_centre.get(data_centre)
        if history is None:
            history = AdmissionHistory(self._window, self._clock)
            self._history_by_data_centre[data_centre] = history
        return history

    def _recent(self, items):
        return [item for item in items if self._is_recent(item)]

    def _is_published_lately(self):
        age = self._clock.now() - self._published.updated_at
        return age <= MAX_PUBLICATION_AGE_MS

    def _is_recent(self, item):
        return self._clock.now() - item.updated_at <= MAX_REPORT_AGE_MS
