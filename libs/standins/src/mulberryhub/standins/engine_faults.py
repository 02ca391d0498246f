"""Faults of the engine stand-in.

Lasting faults: `slow` (factor on all times), `late` (ms before each answer),
`poison` (a request whose prompt holds this text ends the process once it runs),
`cut_after` (tokens after which a stream breaks, `cuts` times).
Counted faults: `cuts`, `crossed` (streams that are those of another request),
`crossed_chunks` (streams with one chunk of another request).
Actions: `crash` (the process ends), `restart_empty` (everything is dropped and open
connections break), `silence` (open connections never answer again, new ones do).
"""

import os

from mulberryhub.base.green import spawn_n
from mulberryhub.standins.server import Faults, pause

CRASH_DELAY = 20  # ms
CRASH_STATUS = 70


class EngineFaults(Faults):
    """Faults by name; those that are actions take effect when they are set."""

    __slots__ = ("actions_by_name",)

    def __init__(self):
        super().__init__()
        self.actions_by_name = {"crash": _crash_soon}

    def update(self, values):
        """Switch faults on or off and run actions."""
        actions = self.actions_by_name
        for name in actions.keys() & values.keys():
            if values[name]:
                actions[name]()
        rest = {name: value for name, value in values.items() if name not in actions}
        super().update(rest)

    def check_poison(self, prompt):
        """End the process where `prompt` holds the poison."""
        poison = self.get("poison")
        if poison and poison in prompt:
            os._exit(CRASH_STATUS)


def _crash_soon():
    spawn_n(_crash)


def _crash():
    pause(CRASH_DELAY)
    os._exit(CRASH_STATUS)


class Connections:
    """Connections of callers by remote address, to silence those that are open."""

    __slots__ = ("_seen", "_silenced")

    def __init__(self):
        self._seen = set()
        self._silenced = set()

    def note(self, request):
        """Note the connection of `request` and return its key."""
        environ = request.environ
        key = (environ.get("REMOTE_ADDR"), environ.get("REMOTE_PORT"))
        self._seen.add(key)
        return key

    def silence(self):
        """Silence every connection seen so far."""
        self._silenced |= self._seen

    def wait_while_silenced(self, key):
        """Never return for a silenced connection."""
        while key in self._silenced:
            pause(60_000)
