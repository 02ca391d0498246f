"""Exposes counters, gauges and histograms of durations to Prometheus."""

import msgspec
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from mulberryhub.http.messages import Headers
from mulberryhub.http.server import HttpServer
from mulberryhub.node.readiness import MONITORING_LIMITS, STATUS_NOT_FOUND, STATUS_OK

METRICS_PATH = b"/metrics"
RELEASES_PATH = b"/releases"
DURATION_BUCKETS_MS = (5, 10, 20, 50, 100, 200, 350, 500, 1_000, 2_000, 5_000, 12_000)


class PrometheusCounters:
    """Counters by dotted name and histograms of durations, kept in a registry.

    The interface is that of `base.counters.Counters`, with gauges in addition.
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
            buckets=DURATION_BUCKETS_MS,
            registry=self.registry,
        )

    def add(self, name, amount=1):
        """Add `amount` to the counter `name`."""
        self.by_name[name] = self.by_name.get(name, 0) + amount
        self._counter.labels(name).inc(amount)

    def add_gauge(self, name, help_text, reader_by_topic):
        """Add the gauge `name` with one value per topic.

        The functions in `reader_by_topic` are called for the values at each scrape.
        Return the function `(topic, reader)` that adds further ones.
        """
        gauge = Gauge(
            f"mulberryhub_{name}", help_text, ["topic"], registry=self.registry
        )

        def add_reader(topic, reader):
            gauge.labels(topic).set_function(reader)

        for topic, reader in reader_by_topic.items():
            add_reader(topic, reader)
        return add_reader

    def timing(self, name, duration):
        """Record a duration in ms in the histogram."""
        self._histogram.labels(name).observe(duration)


def metrics_server(address, counters, read_releases, clock):
    """Return a server that exposes `counters` in the Prometheus text format.

    It also serves the JSON document that `read_releases()` returns.
    """

    def handle(request, connection):
        if request.path == METRICS_PATH:
            body = generate_latest(counters.registry)
            content_type = b"text/plain; version=0.0.4"
        elif request.path == RELEASES_PATH:
            body = msgspec.json.encode(read_releases())
            content_type = b"application/json"
        else:
            connection.start_response(STATUS_NOT_FOUND, Headers(), 0)
            return connection.finish_response()
        headers = Headers.from_pairs([(b"Content-Type", content_type)])
        connection.start_response(STATUS_OK, headers, len(body))
        connection.write(body)
        return connection.finish_response()

    return HttpServer(address, handle, lambda: MONITORING_LIMITS, clock)
