"""Stand-in of the platform's list of VMs, which shows changes after a lag.

`GET /vms` returns the list, `POST /vms` with one entry adds or changes a VM and
`DELETE /vms/{id}` drops one. Faults: `lag` (ms until a change shows), `outage`
(no request is served), `delay` (ms before each answer), `empty` (the list is
shown without entries).
"""

import msgspec

from mulberryhub.base.clock import Clock
from mulberryhub.standins.server import Answer, Faults, make_app, pause, run_standin


class Change:
    """One change of the list: an entry, or None where the VM was dropped."""

    __slots__ = ("time", "vm", "entry")

    def __init__(self, time, vm, entry):
        self.time = time
        self.vm = vm
        self.entry = entry


class VmListStandin:
    """The list's HTTP interface."""

    __slots__ = ("faults", "clock", "changes")

    def __init__(self, clock=None):
        self.faults = Faults()
        self.clock = clock or Clock()
        self.changes = []

    def handle(self, request):
        """Serve one request."""
        if request.method == "POST":
            entry = msgspec.json.decode(request.body)
            return self._change(entry["id"], entry)
        if request.method == "DELETE":
            return self._change(request.path.split("/")[2], None)
        pause(self.faults.get("delay", 0))
        if self.faults.get("outage"):
            return Answer({"error": "outage"}, status=503)
        return Answer({"vms": self._shown()})

    def _change(self, vm, entry):
        self.changes.append(Change(self.clock.now(), vm, entry))
        return Answer({})

    def _shown(self):
        if self.faults.get("empty"):
            return []
        latest = self.clock.now() - self.faults.get("lag", 0)
        entries_by_vm = {}
        for change in self.changes:
            if change.time <= latest:
                entries_by_vm[change.vm] = change.entry
        return [entry for entry in entries_by_vm.values() if entry is not None]


def make_vm_list():
    """Return the WSGI application of a new, empty list."""
    standin = VmListStandin()
    return make_app(standin.handle, standin.faults)


if __name__ == "__main__":
    run_standin(make_vm_list())
