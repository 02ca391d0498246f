import pytest

from mulberryhub.base.clock import Clock, ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.base.errors import Code, HubError, Ran
from mulberryhub.base.green import sleep, spawn
from mulberryhub.routing import gate as gate_module
from mulberryhub.routing.gate import FairGate

LATE = 10**9  # ms


def make_gate(clock, window=1_000):
    counters = Counters()
    return FairGate(clock, lambda: window, lambda workspace: 1, counters), counters


def test_requests_wait_while_the_window_is_full():
    gate, _ = make_gate(Clock())
    gate.enter("a", 600, LATE)
    waiting = [spawn(gate.enter, "a", 600, LATE) for _ in range(2)]
    sleep(0)
    assert [thread.dead for thread in waiting] == [False, False]
    gate.leave(600)
    sleep(0)
    assert [thread.dead for thread in waiting] == [True, False]
    gate.leave(600)
    sleep(0)
    assert waiting[1].dead


def test_request_larger_than_the_window_goes_alone():
    gate, _ = make_gate(ManualClock())
    assert gate.submit("a", 5_000, LATE, None) is None
    assert gate.submit("a", 1, LATE, None) is not None


def test_quiet_workspace_is_next_after_a_noisy_one():
    gate, _ = make_gate(ManualClock())
    started = []
    gate.submit("noisy", 1_000, LATE, None)
    for number in range(50):
        gate.submit("noisy", 1_000, LATE, lambda n=number: started.append(n))
    gate.submit("quiet", 1_000, LATE, lambda: started.append("quiet"))
    for _ in range(4):
        gate.leave(1_000)
    assert "quiet" in started


def test_request_that_would_be_late_is_refused_at_once():
    clock = ManualClock()
    gate, counters = make_gate(clock)
    gate.submit("a", 1_000, LATE, None)
    for _ in range(60):
        gate.submit("a", 1_000, LATE, lambda: None)
    for _ in range(40):
        clock.advance(100)
        gate.leave(1_000)
    wait = gate.expected_wait("a")
    assert 1_000 < wait < 3_000
    with pytest.raises(HubError) as caught:
        gate.submit("a", 1_000, clock.now() + wait - 1, None)
    assert caught.value.code is Code.QUEUE_FULL
    assert caught.value.ran is Ran.NOT_RUN
    assert caught.value.retry_after >= wait
    assert counters.by_name["refusal.queue_full"] == 1
    assert gate.submit("a", 1_000, clock.now() + wait + 1, None) is not None


def test_queue_is_bounded(monkeypatch):
    monkeypatch.setattr(gate_module, "QUEUE_CAPACITY", 5)
    gate, _ = make_gate(ManualClock())
    for _ in range(6):
        gate.submit("a", 1_000, LATE, None)
    with pytest.raises(HubError) as caught:
        gate.submit("b", 1_000, LATE, None)
    assert caught.value.code is Code.QUEUE_FULL


@pytest.mark.parametrize("gives_up", ["deadline", "killed"])
def test_request_that_gives_up_takes_no_room(gives_up):
    clock = Clock()
    gate, counters = make_gate(clock)
    gate.enter("a", 1_000, LATE)
    deadline = clock.now() + 20 if gives_up == "deadline" else LATE
    errors = []

    def enter():
        try:
            gate.enter("a", 1_000, deadline)
        except HubError as error:
            errors.append(error.code)

    thread = spawn(enter)
    sleep(0)
    if gives_up == "killed":
        thread.kill()
    else:
        thread.wait()
        assert errors == [Code.DEADLINE]
        assert counters.by_name["refusal.deadline"] == 1
    gate.leave(1_000)
    assert gate.submit("a", 1_000, LATE, None) is None
