"""A loopback proxy between two programs, with faults of the connection on demand."""

from enum import StrEnum

from benchmarks.ports import free_address
from mulberryhub.base.green import listen, sleep, spawn_n
from mulberryhub.http.sockets import close, connect, receive, reset, split_address

CONNECT_TIMEOUT = 500  # ms
HELD_POLL = 0.02  # s


class Fault(StrEnum):
    """What a link does to bytes; `there` is from the dialler to the listener."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    CUT_THERE = "cut_there"
    CUT_BACK = "cut_back"


HOLDS_THERE = (Fault.SILENT, Fault.CUT_THERE)
HOLDS_BACK = (Fault.SILENT, Fault.CUT_BACK)
DELAY = 0.15  # s for each piece


class Pair:
    """The two ends of one connection through a link."""

    __slots__ = ("near", "far")

    def __init__(self, near, far):
        self.near = near
        self.far = far

    def reset(self):
        """Reset both ends, the dialler's first."""
        reset(self.near)
        reset(self.far)


class Link:
    """Passes connections to `address` on to `target`; `fault` may change any time.

    Held bytes arrive once the fault ends, as after a cut that heals.
    """

    __slots__ = ("address", "target", "fault", "_listener", "_pairs")

    def __init__(self, target):
        self.address = free_address()
        self.target = target
        self.fault = Fault.NONE
        self._pairs = set()
        self._listener = listen(split_address(self.address), backlog=256)
        spawn_n(self._accept)

    def set_fault(self, fault):
        """Put `fault` in force; a reset strikes the open connections once."""
        if fault is Fault.RESET:
            for pair in list(self._pairs):
                pair.reset()
            return
        self.fault = fault

    def close(self):
        """Take no more connections and reset the open ones."""
        self._listener.close()
        self.set_fault(Fault.RESET)

    def _accept(self):
        while True:
            try:
                near, _ = self._listener.accept()
            except (OSError, EOFError):
                return  # The link is closed.
            spawn_n(self._connect, near)

    def _connect(self, near):
        while self.fault is Fault.SILENT:
            sleep(HELD_POLL)
        try:
            far = connect(self.target, CONNECT_TIMEOUT)
        except OSError:
            reset(near)  # The dialler sees what a refused connection looks like.
            return
        far.settimeout(None)
        pair = Pair(near, far)
        self._pairs.add(pair)
        spawn_n(self._pump, pair, near, far, HOLDS_THERE)
        spawn_n(self._pump, pair, far, near, HOLDS_BACK)

    def _pump(self, pair, source, sink, holds):
        try:
            while data := receive(source):
                while self.fault in holds:
                    sleep(HELD_POLL)
                if self.fault is Fault.DELAY:
                    sleep(DELAY)
                sink.sendall(data)
        except OSError:
            pair.reset()
        self._pairs.discard(pair)
        close(sink)
