"""Stand-in for the platform's list of VMs, which can lag behind changes.

`GET /vms` returns the list, `POST /vms` with an entry adds or updates a VM and
`DELETE /vms/{id}` removes one. Faults, which apply to `GET` only: `lag` (ms until a
change is visible), `outage` (answers with 503), `delay` (ms before each answer),
`empty` (the list is returned without entries).
"""

import msgspec

from mulberryhub.base.clock import Clock
from mulberryhub.standins.server import Answer, Faults, make_app, run_standin, sleep_ms


class ListChange:
    """A change to the list; `entry` is None if the VM was removed."""

    __slots__ = ("time", "vm", "entry")

    def __init__(self, time, vm, entry):
        self.time = time
        self.vm = vm
        self.entry = entry


class VmListStandin:
    """The HTTP interface of the list."""

    __slots__ = ("faults", "clock", "changes")

    def __init__(self, clock=None):
        self.faults = Faults()
        self.clock = clock or Clock()
        self.changes = []

    def handle(self, request):
        """Return the Answer to one request."""
        if request.method == "POST":
            entry = msgspec.json.decode(request.body)
            return self._record_change(entry["id"], entry)
        if request.method == "DELETE":
            return self._record_change(request.path.split("/")[2], None)
        sleep_ms(self.faults.get("delay", 0))
        if self.faults.get("outage"):
            return Answer({"error": "outage"}, status=503)
        return Answer({"vms": self._visible_entries()})

    def _record_change(self, vm, entry):
        self.changes.append(ListChange(self.clock.now(), vm, entry))
        return Answer({})

    def _visible_entries(self):
        if self.faults.get("empty"):
            return []
        visible_until = self.clock.now() - self.faults.get("lag", 0)
        entries_by_vm = {}
        for change in self.changes:
            if change.time <= visible_until:
                entries_by_vm[change.vm] = change.entry
        return [entry for entry in entries_by_vm.values() if entry is not None]


def make_vm_list():
    """Return the WSGI application of a new, empty list."""
    standin = VmListStandin()
    return make_app(standin.handle, standin.faults)


if __name__ == "__main__":
    run_standin(make_vm_list())
