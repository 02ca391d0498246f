"""Weight orders, load reports and cache events of the engine stand-in."""

from collections import deque

from mulberryhub.base.green import spawn_n
from mulberryhub.standins.server import sleep_ms

SAMPLE_INTERVAL_MS = 50
MAX_EVENTS = 100_000
POLL_INTERVAL_MS = 20


class Weights:
    """Model versions and the role of the engine, as set by orders.

    `default_version` applies to every model without an order. With `checks_fencing`,
    an order whose fencing token is below the highest one seen is rejected.
    """

    __slots__ = (
        "default_version",
        "versions_by_model",
        "role",
        "checks_fencing",
        "load_time",
        "highest_fencing_token",
        "accepted",
        "loading",
    )

    def __init__(self, default_version, checks_fencing, load_time):
        self.default_version = default_version
        self.versions_by_model = {}
        self.role = "mixed"
        self.checks_fencing = checks_fencing
        self.load_time = load_time
        self.highest_fencing_token = 0
        self.accepted = []
        self.loading = 0

    def version(self, model):
        """Return the loaded version of `model`."""
        return self.versions_by_model.get(model, self.default_version)

    def apply_order(self, order):
        """Apply an order and return whether it was accepted.

        A load order blocks for `load_time` ms.
        """
        fencing_token = order.get("fencing") or 0
        if self.checks_fencing and fencing_token < self.highest_fencing_token:
            return False
        self.highest_fencing_token = max(self.highest_fencing_token, fencing_token)
        self.accepted.append(order)
        if order["kind"] == "load":
            self._load_weights(order)
        else:
            self.role = order.get("role") or order.get("version")
        return True

    def _load_weights(self, order):
        self.loading += 1
        sleep_ms(self.load_time)
        self.loading -= 1
        self.versions_by_model[order["model"]] = order["version"]


class LoadReports:
    """Reports the load as it was `lag` ms ago; `measure()` returns the current load."""

    __slots__ = ("_measure", "_clock", "_samples", "_lag_ms")

    def __init__(self, measure, clock, lag):
        self._measure = measure
        self._clock = clock
        self._lag_ms = lag
        self._samples = deque()
        if lag:
            self._samples.append((clock.now(), measure()))
            spawn_n(self._collect_samples)

    def _collect_samples(self):
        while True:
            sleep_ms(SAMPLE_INTERVAL_MS)
            now = self._clock.now()
            self._samples.append((now, self._measure()))
            while len(self._samples) > 1 and self._samples[1][0] <= now - self._lag_ms:
                self._samples.popleft()

    def current(self):
        """Return the newest load report that is at least `lag` ms old."""
        return self._samples[0][1] if self._lag_ms else self._measure()


class CacheEvents:
    """Cache events, readable after `delay` ms; every `gap`-th event is dropped."""

    __slots__ = ("_events", "_next_sequence", "_clock", "_delay_ms", "_gap")

    def __init__(self, clock, delay, gap):
        self._events = deque(maxlen=MAX_EVENTS)
        self._next_sequence = 0
        self._clock = clock
        self._delay_ms = delay
        self._gap = gap

    def record(self, type, block):
        """Append an event of type `type` for `block`."""
        sequence = self._next_sequence
        self._next_sequence += 1
        if self._gap and sequence % self._gap == self._gap - 1:
            return
        document = {
            "sequence": sequence,
            "type": type,
            "scope": block.scope,
            "digest": block.digest,
            "tokens": block.tokens,
        }
        self._events.append((self._clock.now() + self._delay_ms, document))

    def read(self, start, wait):
        """Return the readable events from sequence number `start` on.

        Blocks for up to `wait` ms until there is one.
        """
        deadline = self._clock.now() + wait
        while True:
            events = self._due_events(start)
            if events or self._clock.now() >= deadline:
                return events
            sleep_ms(POLL_INTERVAL_MS)

    def _due_events(self, start):
        now = self._clock.now()
        return [
            document
            for due, document in self._events
            if due <= now and document["sequence"] >= start
        ]
