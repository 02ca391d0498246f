import pytest
from hypothesis import given, settings, strategies as st

from mulberryhub.limits import borrowings, holding
from mulberryhub.limits.bucket import Bucket
from tests.limits.fleet_model import BURST, FleetModel

VMS = ("a", "b", "c")
VM = st.sampled_from(VMS)
INDEX = st.integers(0, 20)
ADVANCE = st.tuples(
    st.just("advance"), st.sampled_from([1, 20, 100, 300, 500, 999, 2_500])
)
STEPS_IN_SERVICE = (
    ADVANCE,
    st.tuples(st.just("admit"), VM, st.sampled_from([1, 60, 300, 301, 600, 900])),
    st.tuples(st.just("settle"), VM, INDEX, st.sampled_from([0, 50, 100])),
    st.tuples(st.just("ask"), VM, VM, st.sampled_from([50, 300, 900])),
    st.tuples(st.just("report"), VM, VM),
    st.tuples(st.just("deliver"), INDEX, st.booleans()),
    st.tuples(st.just("deliver"), st.just(-1), st.just(False)),
    st.tuples(st.just("drop"), INDEX),
)
STEPS_OF_VIEWS = (
    st.tuples(st.just("start"), st.sampled_from("abcd")),
    st.tuples(st.just("read"), st.sampled_from("abcd")),
    st.tuples(st.just("adopt"), st.sampled_from("abcd")),
    st.tuples(st.just("crash"), VM),
    st.tuples(st.just("gone"), VM),
    st.tuples(st.just("leave"), VM),
)
DRIFTS = st.tuples(*[st.sampled_from([-1, 0, 1])] * 4)


def run_steps(steps, drifts):
    model = FleetModel(VMS, drifts)
    model.drifts_by_vm["d"] = drifts[3]
    model.advance(2_500)
    for name, *arguments in steps:
        getattr(model, name)(*arguments)
    return model


def schedules(*kinds):
    return st.lists(st.one_of(*kinds), min_size=10, max_size=80)


@settings(derandomize=True, deadline=None, max_examples=1_000)
@given(schedules(*STEPS_IN_SERVICE), DRIFTS)
def test_bound_with_lost_late_and_doubled_messages(steps, drifts):
    assert run_steps(steps, drifts).excess() <= 0.001


@settings(derandomize=True, deadline=None, max_examples=1_000)
@given(schedules(*STEPS_IN_SERVICE, *STEPS_OF_VIEWS), DRIFTS)
def test_bound_with_restarts_and_changes_of_members(steps, drifts):
    assert run_steps(steps, drifts).excess() <= 0.001


# Each schedule breaks the bound when one mechanism is left out.

BORROWED_BURST = [
    ("ask", "a", "b", 300),
    ("deliver", -1, False),
    ("deliver", -1, False),
    ("advance", 950),
    ("admit", "a", 600),
    ("admit", "b", 300),
    ("admit", "c", 300),
]
LATE_ANSWER = [
    ("ask", "a", "b", 300),
    ("deliver", -1, False),
    ("advance", 2_500),
    ("deliver", -1, False),
    ("admit", "a", 600),
    ("admit", "b", 300),
    ("admit", "c", 300),
]
DOUBLED_ANSWER = [
    ("ask", "a", "b", 300),
    ("deliver", -1, False),
    ("deliver", -1, True),
    ("deliver", -1, False),
    ("admit", "a", 900),
    ("admit", "c", 300),
]
OLD_REFUND = [
    ("admit", "a", 300),
    ("advance", 2_500),
    ("admit", "a", 300),
    ("settle", "a", 0, 0),
    ("admit", "a", 300),
    ("admit", "b", 300),
    ("admit", "c", 300),
]
RESTARTED_HOLDER = [
    ("ask", "a", "b", 300),
    ("deliver", -1, False),
    ("deliver", -1, False),
    ("crash", "b"),
    ("start", "b"),
    ("read", "b"),
    ("advance", 999),
    ("admit", "a", 600),
    ("admit", "b", 300),
    ("admit", "c", 300),
]


def keep_room_open(self, amount, now):
    self.refill(now)
    self.level -= amount


def refund_all(self, amount, mark, now):
    self.refill(now)
    self.level = min(self.level + amount, self.burst)


def receive_always(self, loan, amount, now):
    pending = self._pending_by_loan.get(loan)
    expires = now + holding.LOAN_TIME
    self._lots.append(borrowings.Lot(pending.holder, loan, amount, expires))


def start_at_once(self, now):
    original_init(self, now - holding.CLOSED_TIME)


original_init = holding.Holding.__init__

MECHANISMS = [
    (Bucket, "lend", keep_room_open, BORROWED_BURST),
    (borrowings.Borrowings, "receive", receive_always, LATE_ANSWER),
    (borrowings.Borrowings, "receive", receive_always, DOUBLED_ANSWER),
    (Bucket, "refund", refund_all, OLD_REFUND),
    (holding.Holding, "__init__", start_at_once, RESTARTED_HOLDER),
]


@pytest.mark.parametrize("owner,name,broken,steps", MECHANISMS)
def test_bound_breaks_without_the_mechanism(owner, name, broken, steps, monkeypatch):
    assert run_steps(steps, (0, 0, 0, 0)).excess() <= 0.001
    monkeypatch.setattr(owner, name, broken)
    if name == "lend":
        monkeypatch.setattr(Bucket, "reopen", lambda self, amount, now: 0)
    assert run_steps(steps, (0, 0, 0, 0)).excess() > 1


def test_whole_burst_can_be_gathered():
    model = FleetModel(VMS, (0, 0, 0))
    model.advance(4_000)
    for holder in ("b", "c"):
        model.ask("a", holder, BURST)
        model.deliver(-1)
        model.deliver(-1)
    model.admit("a", BURST)
    assert [tokens for _, tokens in model.admissions] == [BURST]
