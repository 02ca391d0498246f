"""The weights versions that the operator named, and how long ago.

The store does not tell when a record was written. A router that follows the store knows
that a version was named after the last time at which it was not there yet. A router
that has just started does not know that time, unless another router tells it or it
saved it in the store by the clock that counts from the boot of its VM. Wall clocks may
be wrong, so times that they tell only shorten the use of older weights.
"""

from math import inf

from mulberryhub.fleet.naming_clock import naming_times, saved_ages
from mulberryhub.fleet.records import Weights

MAX_VERSION_COUNT = 16  # of one model, the newest ones


class NamedVersion:
    """A named version: it was named after `named_after` ms and heard of at `heard_at`.

    `named_after` is None if it is unknown, and provisional if it rests on failed reads
    of the store. `named_by_wall` is the earliest time that wall clocks tell, None
    without any.
    """

    __slots__ = ("named_after", "heard_at", "is_provisional", "named_by_wall")

    def __init__(self, named_after, heard_at, is_provisional=False):
        self.named_after = named_after
        self.heard_at = heard_at
        self.is_provisional = is_provisional
        self.named_by_wall = None

    @property
    def is_certain(self):
        """Return whether other routers may rely on `named_after`."""
        return self.named_after is not None and not self.is_provisional

    @property
    def earliest(self):
        """Return the earliest time in ms that any clock tells, None if none does."""
        return _earlier(self.named_after, self.named_by_wall)

    def learn(self, named_after):
        """Take over a time if none is known for certain; return whether it was."""
        if self.is_certain:
            return False
        self.named_after = named_after
        self.is_provisional = False
        return True

    def include(self, earlier):
        """Count from when the version `earlier` was named."""
        if earlier.named_after is None:
            self.named_after = None
        elif self.named_after is not None:
            self.named_after = min(self.named_after, earlier.named_after)
        self.is_provisional = self.is_provisional or earlier.is_provisional
        self.heard_at = min(self.heard_at, earlier.heard_at)
        self.named_by_wall = _earlier(self.named_by_wall, earlier.named_by_wall)


class NamedWeights:
    """The named versions of all models, and which of their times this router saved.

    `router` and `data_centre` are those of this router. `revision` grows with each time
    that it learns.
    """

    __slots__ = (
        "revision",
        "_router",
        "_data_centre",
        "_versions_by_model",
        "_stored_by_model",
        "_clock",
    )

    def __init__(self, clock, router="", data_centre=""):
        self.revision = 0
        self._router = router
        self._data_centre = data_centre
        self._versions_by_model = {}
        self._stored_by_model = {}
        self._clock = clock

    def newest(self, model):
        """Return the newest named version of `model`, or 0 without any."""
        return max(self._versions_by_model.get(model, ()), default=0)

    def apply(self, weights, absent_at, unreadable_at=None, as_of=None):
        """Apply a record; return whether it told anything new.

        `absent_at` is the last time in ms at which newer versions than the known ones
        were not in the store, None if that is unknown. `unreadable_at` is a later one
        at which this router could not read the store, None without any. `as_of` is the
        time in ms at which the ages of `weights` held, by default now.
        """
        known = self._versions_by_model.setdefault(weights.model, {})
        now = self._clock.now()
        told_by_version = _naming_times(weights, now if as_of is None else as_of)
        is_news = weights.version > self.newest(weights.model)
        if is_news:
            told = told_by_version.get(weights.version)
            known[weights.version] = self._heard(absent_at, unreadable_at, told)
        for version, told in told_by_version.items():
            named = known.setdefault(version, NamedVersion(None, now))
            is_news |= named.learn(told)
        is_news |= not known.keys() >= set(weights.unaged)
        for version in weights.unaged:
            known.setdefault(version, NamedVersion(None, now))
        self._drop_old(known)
        if is_news:
            self.revision += 1
        return is_news

    def time_since_superseded(self, model, version):
        """Return for how many ms at most a version newer than `version` has been named.

        Return None if there is none, and inf if the time is unknown.
        """
        newer = self._newer(model, version)
        if not newer:
            return None
        if any(named.named_after is None for named in newer):
            return inf
        return self._clock.now() - min(named.named_after for named in newer)

    def time_known_superseded(self, model, version):
        """Return for how many ms this router has known of a newer version.

        Return None if there is none.
        """
        newer = self._newer(model, version)
        if not newer:
            return None
        return self._clock.now() - min(named.heard_at for named in newer)

    def longest_time_superseded(self, model, version):
        """Return the longest time in ms for which any clock tells of a newer version.

        Return 0 if none tells.
        """
        times = [named.earliest for named in self._newer(model, version)]
        earliest = min((time for time in times if time is not None), default=None)
        return 0 if earliest is None else self._clock.now() - earliest

    def with_ages(self, weights):
        """Return `weights` with the present ages of the versions of its model.

        Provisional times are left out, and those of wall clocks, which each router
        reads from the store.
        """
        known = self._versions_by_model.get(weights.model, {})
        ages = {
            version: self._clock.now() - named.named_after
            for version, named in known.items()
            if named.is_certain
        }
        unaged = [
            version
            for version in known
            if version not in ages and version != weights.version
        ]
        return Weights(weights.model, weights.version, ages, unaged)

    def records(self):
        """Return the newest Weights of each model, with ages."""
        return [
            self.with_ages(Weights(model, self.newest(model)))
            for model in self._versions_by_model
        ]

    def apply_times(self, times):
        """Apply times that a router saved; return whether they told anything new."""
        ages = saved_ages(times, self._router, self._clock)
        if ages.since_boot:
            self.record_stored(times)
        newest = self.newest(times.model)
        self._apply_wall_ages(times.model, ages.by_wall)
        is_news = self.newest(times.model) > newest
        known = Weights(
            times.model, self.newest(times.model), ages.since_boot, times.unaged
        )
        return self.apply(known, None) or is_news

    def record_stored(self, times):
        """Record that `times` of this router are in the store."""
        stored = self._stored_by_model.setdefault(times.model, set())
        stored.update(times.named_at_by_version)

    def unstored_times(self):
        """Return the NamingTimes of each model with times that are not in the store."""
        return [
            naming_times(record, self._router, self._data_centre, self._clock)
            for record in self.records()
            if record.ages.keys() - self._stored_by_model.get(record.model, set())
        ]

    def _heard(self, absent_at, unreadable_at, told):
        """Return the NamedVersion of news; see `apply`, `told` may be None."""
        now = self._clock.now()
        if unreadable_at is None:
            return NamedVersion(_earlier(absent_at, told), now)
        if told is None:
            return NamedVersion(unreadable_at, now, is_provisional=True)
        return NamedVersion(told, now)

    def _apply_wall_ages(self, model, age_by_version):
        known = self._versions_by_model.setdefault(model, {})
        now = self._clock.now()
        for version, age in age_by_version.items():
            named = known.setdefault(version, NamedVersion(None, now))
            named.named_by_wall = _earlier(named.named_by_wall, now - age)
        self._drop_old(known)

    @staticmethod
    def _drop_old(known):
        """Drop the oldest versions; the oldest one that is left counts for them."""
        while len(known) > MAX_VERSION_COUNT:
            oldest, second = sorted(known)[:2]
            known[second].include(known.pop(oldest))

    def _newer(self, model, version):
        known = self._versions_by_model.get(model, {})
        return [named for number, named in known.items() if number > version]


def _naming_times(weights, as_of):
    return {version: as_of - age for version, age in weights.ages.items()}


def _earlier(first, second):
    """Return the earlier of two times in ms, each None if unknown.

    What another router told may have waited while this one stood still.
    """
    known = [time for time in (first, second) if time is not None]
    return min(known, default=None)
