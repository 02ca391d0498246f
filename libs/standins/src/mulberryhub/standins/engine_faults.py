"""Faults of the engine stand-in.

Persistent faults, in force until cleared: `slow` (factor on prefill and decoding
times), `late` (ms of delay before each completion), `poison` (running a request whose
prompt contains this text ends the process), `cut_after` (number of tokens after which
a stream is cut; `cuts` limits how many streams).
Counted faults, whose value is the number of times they occur: `cuts`, `crossed` (the
stream is that of another request), `crossed_chunks` (the stream contains one chunk of
another request).
Actions: `crash` (the process exits), `restart_empty` (all requests and the cache are
dropped, and open streams break), `silence` (connections seen so far never get an
answer again; new connections do).
"""

import os

from mulberryhub.base.green import spawn_n
from mulberryhub.standins.server import Faults, sleep_ms

CRASH_DELAY_MS = 20
CRASH_EXIT_CODE = 70


class EngineFaults(Faults):
    """Faults by name; actions run at once instead of being stored."""

    __slots__ = ("actions_by_name",)

    def __init__(self):
        super().__init__()
        self.actions_by_name = {"crash": _schedule_crash}

    def update(self, values):
        """Set or clear faults and run the actions whose value is true."""
        actions = self.actions_by_name
        for name in actions.keys() & values.keys():
            if values[name]:
                actions[name]()
        other_faults = {
            name: value for name, value in values.items() if name not in actions
        }
        super().update(other_faults)

    def crash_if_poisoned(self, prompt):
        """Exit the process if `prompt` contains the text of the `poison` fault."""
        poison = self.get("poison")
        if poison and poison in prompt:
            os._exit(CRASH_EXIT_CODE)


def _schedule_crash():
    spawn_n(_crash_after_delay)


def _crash_after_delay():
    sleep_ms(CRASH_DELAY_MS)
    os._exit(CRASH_EXIT_CODE)


class Connections:
    """Client connections by remote address and port, and those that are silenced."""

    __slots__ = ("_known", "_silenced")

    def __init__(self):
        self._known = set()
        self._silenced = set()

    def register(self, request):
        """Record the connection of `request` and return its key."""
        environ = request.environ
        key = (environ.get("REMOTE_ADDR"), environ.get("REMOTE_PORT"))
        self._known.add(key)
        return key

    def silence(self):
        """Silence every connection recorded so far."""
        self._silenced |= self._known

    def block_if_silenced(self, key):
        """Block forever if the connection `key` is silenced."""
        while key in self._silenced:
            sleep_ms(60_000)
