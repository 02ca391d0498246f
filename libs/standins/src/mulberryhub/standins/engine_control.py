"""Orders, load reports and cache events of the engine stand-in."""

from collections import deque

from mulberryhub.base.green import spawn_n
from mulberryhub.standins.server import pause

SAMPLE_INTERVAL = 50  # ms
EVENTS_KEPT = 100_000
POLL = 20  # ms


class Weights:
    """Versions of the loaded models, as orders set them.

    `default` is the version of every model without an order. With
    `checks_fencing`, an order whose fencing number is lower than one seen is refused.
    """

    __slots__ = (
        "default",
        "versions_by_model",
        "role",
        "checks_fencing",
        "load_time",
        "highest_fencing",
        "accepted",
        "loading",
    )

    def __init__(self, default, checks_fencing, load_time):
        self.default = default
        self.versions_by_model = {}
        self.role = "mixed"
        self.checks_fencing = checks_fencing
        self.load_time = load_time
        self.highest_fencing = 0
        self.accepted = []
        self.loading = 0

    def version(self, model):
        """Return the version of `model` that is in use."""
        return self.versions_by_model.get(model, self.default)

    def order(self, order):
        """Carry out an order and return whether it was accepted."""
        fencing = order.get("fencing") or 0
        if self.checks_fencing and fencing < self.highest_fencing:
            return False
        self.highest_fencing = max(self.highest_fencing, fencing)
        self.accepted.append(order)
        if order["kind"] == "load":
            self._load(order)
        else:
            self.role = order.get("role") or order.get("version")
        return True

    def _load(self, order):
        self.loading += 1
        pause(self.load_time)
        self.loading -= 1
        self.versions_by_model[order["model"]] = order["version"]


class LoadReports:
    """Reports the load as it was `lag` ms ago; `measure()` gives it as it is."""

    __slots__ = ("_measure", "_clock", "_samples", "_lag")

    def __init__(self, measure, clock, lag):
        self._measure = measure
        self._clock = clock
        self._lag = lag
        self._samples = deque()
        if lag:
            self._samples.append((clock.now(), measure()))
            spawn_n(self._sample)

    def _sample(self):
        while True:
            pause(SAMPLE_INTERVAL)
            now = self._clock.now()
            self._samples.append((now, self._measure()))
            while len(self._samples) > 1 and self._samples[1][0] <= now - self._lag:
                self._samples.popleft()

    def current(self):
        """Return the newest load that may be told already."""
        return self._samples[0][1] if self._lag else self._measure()


class CacheEvents:
    """Cache events that come `delay` ms late; each `gap`-th one is lost."""

    __slots__ = ("_events", "_sequence", "_clock", "_delay", "_gap")

    def __init__(self, clock, delay, gap):
        self._events = deque(maxlen=EVENTS_KEPT)
        self._sequence = 0
        self._clock = clock
        self._delay = delay
        self._gap = gap

    def record(self, type, block):
        """Add an event on `block`."""
        sequence = self._sequence
        self._sequence += 1
        if self._gap and sequence % self._gap == self._gap - 1:
            return
        document = {
            "sequence": sequence,
            "type": type,
            "scope": block.scope,
            "digest": block.digest,
            "tokens": block.tokens,
        }
        self._events.append((self._clock.now() + self._delay, document))

    def read(self, start, wait):
        """Return the events from sequence `start`, waiting for one up to `wait` ms."""
        deadline = self._clock.now() + wait
        while True:
            events = self._due(start)
            if events or self._clock.now() >= deadline:
                return events
            pause(POLL)

    def _due(self, start):
        now = self._clock.now()
        return [
            document
            for due, document in self._events
            if due <= now and document["sequence"] >= start
        ]
