"""Cooperative threads on a virtual clock that skips to the next event."""

from heapq import heappop, heappush
from itertools import count

from greenlet import getcurrent, greenlet

from mulberryhub.base.clock import ManualClock


class VirtualTime:
    """Runs functions at virtual times in ms; replaces `sleep` and `spawn`."""

    def __init__(self):
        self.clock = ManualClock(now=1_000_000)
        self._events = []
        self._sequence = count()

    def after(self, duration, function, *args):
        """Schedule `function` in `duration` ms."""
        time = self.clock.now() + max(0, round(duration))
        heappush(self._events, (time, next(self._sequence), function, args))

    def spawn(self, function, *args):
        """Schedule `function` in a greenlet of its own."""
        self.after(0, lambda: greenlet(lambda: function(*args)).switch())

    def sleep(self, seconds):
        """Suspend the current greenlet for `seconds`."""
        current = getcurrent()
        self.after(seconds * 1000, current.switch)
        current.parent.switch()

    def run(self, duration):
        """Run everything that is due within `duration` ms."""
        end = self.clock.now() + duration
        while self._events and self._events[0][0] <= end:
            time, _, function, args = heappop(self._events)
            self.clock.advance(time - self.clock.now())
            function(*args)
        self.clock.advance(end - self.clock.now())
