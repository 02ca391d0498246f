"""The software versions that the upstreams of one service have or had."""

MARK_RETENTION_MS = 15_000  # for which the mark of a version that left is surely kept


class ServiceVersions:
    """Versions of one service, as far as this router has seen them.

    `first_seen_by_version` has the versions in service, each with the ms since which
    it is in service. `usable` are those of them on which streams may begin.
    """

    __slots__ = (
        "first_seen_by_version",
        "usable",
        "_usable_until_by_version",
        "_marked_at_by_version",
        "_last_seen_by_version",
    )

    def __init__(self):
        self.first_seen_by_version = {}
        self.usable = set()
        self._usable_until_by_version = {}
        self._marked_at_by_version = {}
        self._last_seen_by_version = {}

    def replace(self, in_service, now):
        """Set the versions that are in service at `now` (ms)."""
        for version in self.first_seen_by_version.keys() - in_service:
            del self.first_seen_by_version[version]
            self._last_seen_by_version[version] = now
            self._marked_at_by_version.pop(version, None)
            if version in self.usable:
                self._usable_until_by_version[version] = now + MARK_RETENTION_MS
        self.usable &= in_service
        for version in in_service - self.first_seen_by_version.keys():
            self.first_seen_by_version[version] = now
            if now < self._usable_until_by_version.pop(version, now):
                self.usable.add(version)

    def record_possible(self, version, now):
        """Record that streams may have begun on `version` up to `now` (ms)."""
        self._last_seen_by_version[version] = now

    def record_stated(self, version, at):
        """Record that a version that is known was in service up to `at` (ms)."""
        last_seen = self._last_seen_by_version.get(version, at)
        self._last_seen_by_version[version] = max(at, last_seen)

    def record_marked(self, version, now):
        """Record that `version` has an open mark at `now` (ms).

        It is usable once it is known to be in service as of then, or at once if no
        other version is known.
        """
        if version not in self.first_seen_by_version or version in self.usable:
            return
        if self.is_only(version):
            self.usable.add(version)
        else:
            self._marked_at_by_version.setdefault(version, now)

    def record_unmarked(self, versions):
        """Record which of the versions in service have no open mark."""
        self.usable -= versions
        self._usable_until_by_version.clear()
        for version in versions:
            self._marked_at_by_version.pop(version, None)

    def record_seen(self, as_of):
        """Make versions usable whose marks are older than `as_of` (ms).

        The versions in service must be known as of then.
        """
        for version, marked_at in list(self._marked_at_by_version.items()):
            if marked_at < as_of:
                del self._marked_at_by_version[version]
                self.usable.add(version)

    def unmarked(self):
        """Return the versions in service of which no open mark is known."""
        return (
            self.first_seen_by_version.keys()
            - self.usable
            - self._marked_at_by_version.keys()
        )

    def is_only(self, version):
        """Return whether no other version is known, now or before."""
        return self.possible(0) == {version}

    def possible(self, oldest):
        """Return the versions in service at any time since `oldest` (ms)."""
        recent = {
            version
            for version, last_seen in self._last_seen_by_version.items()
            if last_seen >= oldest
        }
        return recent | self.first_seen_by_version.keys()

    def last_seen(self, version):
        """Return when `version` was last in service (ms), or None if unknown."""
        return self._last_seen_by_version.get(version)

    def forget_before(self, oldest):
        """Drop versions that were last in service before `oldest` (ms)."""
        self._last_seen_by_version = {
            version: last_seen
            for version, last_seen in self._last_seen_by_version.items()
            if last_seen >= oldest
        }
