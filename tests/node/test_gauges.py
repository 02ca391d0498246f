from prometheus_client import generate_latest

from mulberryhub.node.gauges import add_speed_gauges
from mulberryhub.node.metrics import PrometheusCounters


class Speeds:
    def __init__(self, speeds):
        self.speeds = speeds

    def speeds_by_id(self):
        return dict(enumerate(self.speeds))


def read_values(speeds):
    counters = PrometheusCounters()
    add_speed_gauges(counters, Speeds(speeds))
    lines = generate_latest(counters.registry).decode().splitlines()
    return [float(line.split()[-1]) for line in lines if line.startswith("mulb")]


def test_gauges_of_speeds():
    """Guards against slow upstreams that operators cannot see."""
    assert read_values([0.6, 0.5, 1.6]) == [2, 1, 0.5, 1.6]
    assert read_values([]) == [0, 0, 1, 1]
