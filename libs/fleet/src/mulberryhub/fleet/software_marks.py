"""Marks in the store: the software versions on which streams may have begun.

They outlive all routers. The interface `marks` that platform adapters implement has
`read()`, which returns a MarkListing; `put(marks)`, which writes several SoftwareMarks
or none; and `remove(mark, end)`, which removes one unless marks were written since a
listing that ended at `end`. All raise StoreUnavailable; a write that raises may still
take effect later.
"""

import msgspec

from mulberryhub.fleet.store import era_of


class SoftwareMark(msgspec.Struct, frozen=True):
    """A software version on which streams of `service` may have begun.

    `software_version` is None for upstreams that state none. A mark that `is_closing`
    is removed later; streams begin on its version again only once it has been replaced.
    `era` is that of the store when it was written.
    """

    service: str
    software_version: str | None
    is_closing: bool = False
    era: int = 0

    @property
    def key(self):
        """Return what identifies the mark: the service and the software version."""
        return self.service, self.software_version


class MarkListing(msgspec.Struct, frozen=True):
    """All marks, and the position of the next write.

    `is_complete` is false if a record could not be read.
    """

    marks: list[SoftwareMark]
    end: int
    is_complete: bool = True

    @property
    def is_reliable(self):
        """Return whether no mark is unread, or from before the store's present era.

        A store that came back from an older copy may have lost others.
        """
        era = era_of(self.end)
        return self.is_complete and all(mark.era == era for mark in self.marks)

    @property
    def keys(self):
        """Return the set of what identifies the marks."""
        return {mark.key for mark in self.marks}
