from types import SimpleNamespace

import pytest

from mulberryhub.base.clock import Clock, ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.base.green import sleep
from mulberryhub.config.inventory import Inventory, Upstream
from mulberryhub.config.view import ConfigView
from mulberryhub.upstream import engine_monitor
from mulberryhub.upstream.engine_monitor import POLL_TIMEOUT_MS, EngineMonitor
from mulberryhub.upstream.health import UpstreamHealth
from mulberryhub.upstream.messages import EngineLoad

WAIT_TIMEOUT_MS = 20_000


class RecordingPolicy:
    def __init__(self):
        self.reports = []
        self.discarded_ids = []

    def record_report(self, engine_id, load, age_ms):
        self.reports.append((engine_id, load, age_ms))

    def discard_engine_state(self, engine_id):
        self.discarded_ids.append(engine_id)


def make_engine_monitor(address, clock=None):
    engine = Upstream("e1", "engine", "dc", address, ["m"])
    view = ConfigView(0, Inventory(upstreams=[engine]))
    clock, counters, policy = clock or Clock(), Counters(), RecordingPolicy()
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
    monitor, policy, health = make_engine_monitor(process.address)
    monitor.start()
    wait_for(lambda: policy.reports)
    engine_id, load, age_ms = policy.reports[0]
    assert (engine_id, load.running) == ("e1", 0)
    assert load.incarnation
    assert age_ms >= 0
    process.kill()
    wait_for(lambda: health.is_avoided("e1"))


HOUR_MS = 3_600_000


class SteppedClock(Clock):
    """A clock whose wall time is off by `error` ms."""

    __slots__ = ("error",)

    def wall(self):
        return super().wall() + self.error


def read_reports(monkeypatch, router_errors, engine_error):
    """Return the ages of reports read at once, one for each error of the router."""
    engine_clock, clock = SteppedClock(), SteppedClock()
    engine_clock.error = engine_error

    def read_load(engine, timeout):
        return EngineLoad(incarnation="a" * 16, time=engine_clock.wall())

    monkeypatch.setattr(engine_monitor, "read_load", read_load)
    monitor, policy, _ = make_engine_monitor("127.0.0.1:1", clock)
    for error in router_errors:
        clock.error = error
        monitor._poll(SimpleNamespace(id="e1"))
    return [age_ms for _, _, age_ms in policy.reports]


@pytest.mark.parametrize("error", [-HOUR_MS, HOUR_MS], ids=["behind", "ahead"])
def test_wrong_clock_of_an_engine_does_not_change_the_age_of_its_load(
    monkeypatch, error
):
    ages = read_reports(monkeypatch, [0, 0], error)
    assert all(0 <= age < POLL_TIMEOUT_MS for age in ages)


@pytest.mark.parametrize("error", [-HOUR_MS, HOUR_MS], ids=["back", "ahead"])
def test_step_of_the_own_clock_does_not_change_the_age_of_a_load(monkeypatch, error):
    ages = read_reports(monkeypatch, [0, error, 0], 0)
    assert all(0 <= age < POLL_TIMEOUT_MS for age in ages)


def test_time_that_the_call_took_counts_as_age(monkeypatch):
    clock = ManualClock(now=1_000)

    def read_load(engine, timeout):
        clock.advance(700)
        return EngineLoad(incarnation="a" * 16, time=clock.wall())

    monkeypatch.setattr(engine_monitor, "read_load", read_load)
    monitor, policy, _ = make_engine_monitor("127.0.0.1:1", clock)
    monitor._poll(SimpleNamespace(id="e1"))
    assert [age_ms for _, _, age_ms in policy.reports] == [700]


def test_new_incarnation_discards_the_routing_state():
    monitor, policy, _ = make_engine_monitor("127.0.0.1:1")
    monitor.record_incarnation("e1", "a")
    monitor.record_incarnation("e1", "a")
    assert policy.discarded_ids == []
    monitor.record_incarnation("e1", "b")
    assert policy.discarded_ids == ["e1"]
