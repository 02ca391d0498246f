"""Serves counters and latency histograms to monitoring tools."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from mulberryhub.http.messages import Headers
from mulberryhub.http.server import HttpServer
from mulberryhub.node.readiness import NOT_FOUND, PROBE_LIMITS, READY

PATH = b"/metrics"
BUCKETS = (5, 10, 20, 50, 100, 200, 350, 500, 1_000, 2_000, 5_000, 12_000)  # ms


class MetricCounters:
    """Counters by dotted name and histograms of durations, kept in a registry.

    It has the interface of `base.Counters`.
    """

    __slots__ = ("by_name", "registry", "_counter", "_histogram")

    def __init__(self):
        self.registry = CollectorRegistry()
        self.by_name = {}
        self._counter = Counter(
            "mulberryhub_events", "Events by name", ["name"], registry=self.registry
        )
        self._histogram = Histogram(
            "mulberryhub_duration_ms",
            "Durations in ms by name",
            ["name"],
            buckets=BUCKETS,
            registry=self.registry,
        )

    def add(self, name, amount=1):
        """Add `amount` to the counter `name`."""
        self.by_name[name] = self.by_name.get(name, 0) + amount
        self._counter.labels(name).inc(amount)

    def gauge(self, name, text, value_by_topic):
        """Serve the values that the functions in `value_by_topic` return when asked."""
        gauge = Gauge(f"mulberryhub_{name}", text, ["topic"], registry=self.registry)
        for topic, value in value_by_topic.items():
            gauge.labels(topic).set_function(value)

    def timing(self, name, duration):
        """Note a duration in ms."""
        self._histogram.labels(name).observe(duration)


def metrics_server(address, counters, clock):
    """Return a server of the counters in the text format of Prometheus."""

    def handle(request, connection):
        if request.path != PATH:
            connection.start_response(NOT_FOUND, Headers(), 0)
            return connection.finish_response()
        text = generate_latest(counters.registry)
        headers = Headers.from_pairs([(b"Content-Type", b"text/plain; version=0.0.4")])
        connection.start_response(READY, headers, len(text))
        connection.write(text)
        return connection.finish_response()

    return HttpServer(address, handle, lambda: PROBE_LIMITS, clock)
