from types import SimpleNamespace

from mulberryhub.base.clock import Clock
from mulberryhub.base.counters import Counters
from mulberryhub.base.green import sleep
from mulberryhub.config.inventory import Inventory, Upstream
from mulberryhub.config.view import ConfigView
from mulberryhub.upstream.engine_monitor import EngineMonitor
from mulberryhub.upstream.health import UpstreamHealth

WAIT_TIMEOUT_MS = 20_000


class RecordingPolicy:
    def __init__(self):
        self.reports = []
        self.discarded_ids = []

    def record_report(self, engine_id, load, age_ms):
        self.reports.append((engine_id, load, age_ms))

    def discard_engine_state(self, engine_id):
        self.discarded_ids.append(engine_id)


def make_engine_monitor(address):
    engine = Upstream("e1", "engine", "dc", address, ["m"])
    view = ConfigView(0, Inventory(upstreams=[engine]))
    clock, counters, policy = Clock(), Counters(), RecordingPolicy()
    health = UpstreamHealth(clock, counters)
    replica = SimpleNamespace(current=lambda: view)
    return EngineMonitor(replica, policy, health, clock, counters), policy, health


def wait_for(condition):
    for _ in range(WAIT_TIMEOUT_MS // 10):
        if condition():
            return
        sleep(0.01)
    raise AssertionError("the condition was not met in time")


def test_loads_are_passed_to_the_policy(fleet):
    process = fleet.start("mulberryhub.standins.engine", "127.0.0.1:0")
    engine_monitor, policy, health = make_engine_monitor(process.address)
    engine_monitor.start()
    wait_for(lambda: policy.reports)
    engine_id, load, age_ms = policy.reports[0]
    assert (engine_id, load.running) == ("e1", 0)
    assert load.incarnation
    assert age_ms >= 0
    process.kill()
    wait_for(lambda: health.is_avoided("e1"))


def test_new_incarnation_discards_the_routing_state():
    engine_monitor, policy, _ = make_engine_monitor("127.0.0.1:1")
    engine_monitor.record_incarnation("e1", "a")
    engine_monitor.record_incarnation("e1", "a")
    assert policy.discarded_ids == []
    engine_monitor.record_incarnation("e1", "b")
    assert policy.discarded_ids == ["e1"]
