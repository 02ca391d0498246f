"""The weights versions that the operator named, and how long ago.

The store does not tell when a record was written. A router that follows the store knows
that a version was named after the last time at which it was not there yet. A router
that has just started does not know that time, unless another router tells it or it
finds it in the store.
"""

from math import inf

from mulberryhub.fleet.records import NamingTimes, Weights

MAX_VERSION_COUNT = 16  # of one model, the newest ones


class NamedVersion:
    """A named version: it was named after `named_after` ms and heard of at `heard_at`.

    `named_after` is None if it is unknown. It is estimated if it was taken from a wall
    clock, which may be wrong.
    """

    __slots__ = ("named_after", "heard_at", "is_estimated")

    def __init__(self, named_after, heard_at):
        self.named_after = named_after
        self.heard_at = heard_at
        self.is_estimated = False

    def learn(self, named_after, is_estimated):
        """Take over a time if none better is known; return whether it was."""
        is_better = self.is_estimated and not is_estimated
        if self.named_after is not None and not is_better:
            return False
        self.named_after = named_after
        self.is_estimated = is_estimated
        return True


class NamedWeights:
    """The named versions of all models, and which of their times are in the store."""

    __slots__ = ("_versions_by_model", "_stored_by_model", "_clock")

    def __init__(self, clock):
        self._versions_by_model = {}
        self._stored_by_model = {}
        self._clock = clock

    def newest(self, model):
        """Return the newest named version of `model`, or 0 without any."""
        return max(self._versions_by_model.get(model, ()), default=0)

    def apply(self, weights, absent_at, is_estimated=False):
        """Apply a record; return whether it told anything new.

        `absent_at` is the last time in ms at which newer versions than the known ones
        were not in the store, None if that is unknown.
        """
        known = self._versions_by_model.setdefault(weights.model, {})
        now = self._clock.now()
        told_by_version = {version: now - age for version, age in weights.ages.items()}
        is_news = weights.version > self.newest(weights.model)
        if is_news:
            told = told_by_version.get(weights.version)
            known[weights.version] = NamedVersion(_earlier(absent_at, told), now)
        for version, told in told_by_version.items():
            named = known.setdefault(version, NamedVersion(None, now))
            is_news |= named.learn(told, is_estimated)
        for version in sorted(known)[:-MAX_VERSION_COUNT]:
            del known[version]
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

    def with_ages(self, weights):
        """Return `weights` with the present ages of the versions of its model.

        Estimated ones are left out: each router takes them from the store itself.
        """
        known = self._versions_by_model.get(weights.model, {})
        ages = {
            version: self._clock.now() - named.named_after
            for version, named in known.items()
            if named.named_after is not None and not named.is_estimated
        }
        return Weights(weights.model, weights.version, ages)

    def records(self):
        """Return the newest Weights of each model, with ages."""
        return [
            self.with_ages(Weights(model, self.newest(model)))
            for model in self._versions_by_model
        ]

    def apply_times(self, times):
        """Apply times from the store; return whether they told anything new.

        A time ahead of the wall clock counts as now.
        """
        self.record_stored(times)
        wall = self._clock.wall()
        ages = {
            version: max(0, wall - named_at)
            for version, named_at in times.named_at_by_version.items()
        }
        known = Weights(times.model, self.newest(times.model), ages)
        return self.apply(known, None, is_estimated=True)

    def record_stored(self, times):
        """Record that `times` are in the store."""
        stored = self._stored_by_model.setdefault(times.model, set())
        stored.update(times.named_at_by_version)

    def unstored_times(self):
        """Return the NamingTimes of each model that has versions not in the store.

        Versions whose age is unknown are left out.
        """
        return [
            self._times(record)
            for record in self.records()
            if record.ages.keys() - self._stored_by_model.get(record.model, set())
        ]

    def _times(self, record):
        wall = self._clock.wall()
        named_at_by_version = {
            version: wall - age for version, age in record.ages.items()
        }
        return NamingTimes(record.model, named_at_by_version)

    def _newer(self, model, version):
        known = self._versions_by_model.get(model, {})
        return [named for number, named in known.items() if number > version]


def _earlier(absent_at, told):
    """Return the earlier of two times in ms, each None if unknown.

    What another router told may have waited while this one stood still.
    """
    known = [time for time in (absent_at, told) if time is not None]
    return min(known, default=None)
