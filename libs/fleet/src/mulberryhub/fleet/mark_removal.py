"""Removes the marks of software versions that left, in two steps.

A mark is replaced by a closing one, and removed after the same time again if nothing
was written to the marks meanwhile. A router to which the version comes back replaces a
closing mark, so none relies on an open mark that it read before a removal that arrives
late.
"""

from mulberryhub.base.logs import module_logger
from mulberryhub.fleet.software_marks import SoftwareMark

log = module_logger(__name__)


class MarkRemover:
    """Removes marks of versions that are absent; `marks` are the store's."""

    __slots__ = ("_marks", "_clock", "_closing_since_by_key", "_removed")

    def __init__(self, marks, clock):
        self._marks = marks
        self._clock = clock
        self._closing_since_by_key = {}
        self._removed = set()

    def step(self, absent_keys, absence):
        """Close or remove one mark of `absent_keys` that is due.

        `absent_keys` are the services and versions that have not been in service for
        `absence` ms. Raise StoreUnavailable.
        """
        self._removed &= set(absent_keys)
        self._closing_since_by_key = {
            key: since
            for key, since in self._closing_since_by_key.items()
            if key in absent_keys
        }
        for key in absent_keys:
            if key not in self._removed and self._is_due(key, absence):
                self._remove(key)
                return

    def _is_due(self, key, absence):
        since = self._closing_since_by_key.get(key)
        return since is None or self._clock.now() - since >= absence

    def _remove(self, key):
        listing = self._marks.read()
        mark = next((item for item in listing.marks if item.key == key), None)
        if mark is None:
            self._removed.add(key)
        elif not mark.is_closing:
            self._marks.put([SoftwareMark(*key, is_closing=True)])
            self._closing_since_by_key[key] = self._clock.now()
        elif key not in self._closing_since_by_key:
            self._closing_since_by_key[key] = self._clock.now()
        else:
            self._marks.remove(mark, listing.end)
            self._removed.add(key)
            log.info("software version out of use", service=key[0], version=key[1])
