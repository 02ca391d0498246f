from random import Random

import pytest
from hypothesis import given, settings, strategies as st

from mulberryhub.limits import borrowings, bucket, local_share
from mulberryhub.limits.bucket import Bucket
from tests.limits import fleet_model
from tests.limits.fleet_model import BURST, FleetModel

VMS = ("a", "b", "c")
ALL_VMS = (*VMS, "d")
STEPS = 200
COSTS = (1, 60, 300, 301, 600, 900)
DURATIONS = (1, 20, 100, 300, 600, 900, 2_500)


def make_step(name, random):
    """Return the step `name` with random arguments."""
    vm, other = random.choice(VMS), random.choice(VMS)
    member, index = random.choice(ALL_VMS), random.randrange(20)
    arguments_by_name = {
        "advance": (random.choice(DURATIONS),),
        "admit": (vm, random.choice(COSTS)),
        "settle": (vm, index, random.choice((0, 50, 100))),
        "ask": (vm, other, random.choice(COSTS)),
        "borrow": (vm, other, random.choice(COSTS)),
        "report": (vm, other),
        "deliver": (index, random.random() < 0.5),
        "drop": (index,),
        "restart": (vm,),
        **dict.fromkeys(("spend_all", "deliver_all", "agree"), ()),
    }
    return name, *arguments_by_name.get(name, (member,))


IN_SERVICE = [
    "admit",
    "settle",
    "ask",
    "borrow",
    "report",
    "deliver",
    "deliver_all",
    "drop",
    "spend_all",
    "advance",
]
OF_MEMBERS = ["start", "read", "adopt", "agree", "restart", "crash", "gone", "leave"]


def make_schedule(seed, names):
    """Return drifts and steps; each schedule favours steps of its own."""
    random = Random(seed)
    drifts = [random.choice((-1, 0, 1)) for _ in ALL_VMS]
    weights = [random.choice((0, 1, 1, 4)) for _ in names]
    weights[names.index("advance")] = 4
    chosen = random.choices(names, weights, k=STEPS)
    return drifts, [make_step(name, random) for name in chosen]


def run_steps(steps, drifts=(0, 0, 0, 0)):
    model = FleetModel(VMS, drifts)
    model.drifts_by_vm["d"] = drifts[3]
    model.advance(2_500)
    for name, *arguments in steps:
        getattr(model, name)(*arguments)
    return model


def excess_of(seed, names):
    drifts, steps = make_schedule(seed, names)
    return run_steps(steps, drifts).excess()


@settings(derandomize=True, deadline=None, max_examples=1_000)
@given(st.integers(0, 2**32))
def test_bound_with_lost_late_and_doubled_messages(seed):
    assert excess_of(seed, IN_SERVICE) <= 0.001


@settings(derandomize=True, deadline=None, max_examples=1_000)
@given(st.integers(0, 2**32))
def test_bound_with_restarts_and_changes_of_members(seed):
    assert excess_of(seed, IN_SERVICE + OF_MEMBERS) <= 0.001


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
EARLY_REPORT = [
    ("borrow", "a", "b", 300),
    ("admit", "a", 60),
    ("settle", "a", 0, 0),
    ("report", "a", "b"),
    ("deliver_all",),
    ("advance", 900),
    ("spend_all",),
]
JOINER_BEFORE_LOSERS = [
    ("start", "d"),
    ("read", "d"),
    ("advance", 2_500),
    ("spend_all",),
]
FAST_CLOCKS = [("advance", 100), ("spend_all",)] * 600


def keep_room_open(self, amount, now):
    self.refill(now)
    self.level -= amount


def refund_all(self, amount, mark, now):
    self.refill(now)
    self.level = min(self.level + amount, self.burst)


def receive_always(self, loan_number, amount, now):
    pending = self._pending_by_loan_number.get(loan_number)
    expires_at = now + local_share.LOAN_LIFETIME_MS
    self._loans.append(
        borrowings.BorrowedLoan(pending.holder, loan_number, amount, expires_at)
    )


def report_open_lot(self, loan, amount):
    loan.returned += amount
    self._report(loan)


def use_newest_view(workspace, router, members):
    return 1 / len(members.newest.vms) if router.vm in members.newest.vms else 0.0


def start_at_once(self, start):
    original_init(self, start - local_share.LOAN_RESERVATION_MS)


original_init = local_share.LocalShare.__init__

MECHANISMS = [
    (Bucket, "lend", keep_room_open, BORROWED_BURST),
    (borrowings.Borrowings, "receive_loan", receive_always, LATE_ANSWER),
    (borrowings.Borrowings, "receive_loan", receive_always, DOUBLED_ANSWER),
    (Bucket, "refund", refund_all, OLD_REFUND),
    (borrowings.Borrowings, "refund", report_open_lot, EARLY_REPORT),
    (fleet_model, "share_fraction", use_newest_view, JOINER_BEFORE_LOSERS),
    (local_share.LocalShare, "__init__", start_at_once, RESTARTED_HOLDER),
]


@pytest.mark.parametrize("owner,name,broken,steps", MECHANISMS)
def test_bound_breaks_without_the_mechanism(owner, name, broken, steps, monkeypatch):
    assert run_steps(steps).excess() <= 0.001
    monkeypatch.setattr(owner, name, broken)
    if name == "lend":
        monkeypatch.setattr(Bucket, "end_loan", lambda self, amount, now: 0)
    assert run_steps(steps).excess() > 1


def test_bound_breaks_with_fast_clocks_and_no_allowance_for_drift(monkeypatch):
    assert run_steps(FAST_CLOCKS, (1, 1, 1, 1)).excess() <= 0.001
    monkeypatch.setattr(bucket, "MAX_CLOCK_DRIFT_RATIO", 0)
    assert run_steps(FAST_CLOCKS, (1, 1, 1, 1)).excess() > 1


def test_whole_burst_can_be_gathered():
    model = FleetModel(VMS, (0, 0, 0))
    model.advance(4_000)
    for holder in ("b", "c"):
        model.ask("a", holder, BURST)
        model.deliver(-1)
        model.deliver(-1)
    model.admit("a", BURST)
    assert [tokens for _, tokens in model.admissions] == [BURST]
