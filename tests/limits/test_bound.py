from random import Random

import pytest
from hypothesis import given, settings, strategies as st

from mulberryhub.limits import borrowings, bucket, local_share
from mulberryhub.limits.bucket import Bucket
from tests.limits import fleet_model
from tests.limits.fleet_model import BURST, FleetModel

VMS = ("a", "b", "c")
ALL_VMS = (*VMS, "d")
STEP_COUNT = 200
COSTS = (1, 60, 300, 301, 600, 900)
DURATIONS_MS = (1, 20, 100, 300, 600, 900, 2_500)


def make_step(name, random):
    """Return a step that calls FleetModel method `name` with random arguments."""
    vm, other = random.choice(VMS), random.choice(VMS)
    any_vm, index = random.choice(ALL_VMS), random.randrange(20)
    arguments_by_name = {
        "advance": (random.choice(DURATIONS_MS),),
        "admit": (vm, random.choice(COSTS)),
        "settle": (vm, index, random.choice((0, 50, 100))),
        "request_loan": (vm, other, random.choice(COSTS)),
        "borrow": (vm, other, random.choice(COSTS)),
        "report": (vm, other),
        "deliver": (index, random.random() < 0.5),
        "drop": (index,),
        "restart": (vm,),
        **dict.fromkeys(
            ("admit_available_everywhere", "deliver_all", "sync_members"), ()
        ),
    }
    return name, *arguments_by_name.get(name, (any_vm,))


REQUEST_STEPS = [
    "admit",
    "settle",
    "request_loan",
    "borrow",
    "report",
    "deliver",
    "deliver_all",
    "drop",
    "admit_available_everywhere",
    "advance",
]
MEMBER_STEPS = [
    "start",
    "read_log",
    "adopt_view",
    "sync_members",
    "restart",
    "crash",
    "record_gone",
    "leave",
]


def make_schedule(seed, names):
    """Return random drifts and steps; the weights of the steps vary by seed."""
    random = Random(seed)
    drifts = [random.choice((-1, 0, 1)) for _ in ALL_VMS]
    weights = [random.choice((0, 1, 1, 4)) for _ in names]
    weights[names.index("advance")] = 4
    chosen = random.choices(names, weights, k=STEP_COUNT)
    return drifts, [make_step(name, random) for name in chosen]


def run_steps(steps, drifts=(0, 0, 0, 0)):
    model = FleetModel(VMS, drifts)
    model.drifts_by_vm["d"] = drifts[3]
    model.advance(2_500)
    for name, *arguments in steps:
        getattr(model, name)(*arguments)
    return model


def excess_of_schedule(seed, names):
    drifts, steps = make_schedule(seed, names)
    return run_steps(steps, drifts).excess()


@settings(derandomize=True, deadline=None, max_examples=1_000)
@given(st.integers(0, 2**32))
def test_bound_with_lost_late_and_duplicate_messages(seed):
    assert excess_of_schedule(seed, REQUEST_STEPS) <= 0.001


@settings(derandomize=True, deadline=None, max_examples=1_000)
@given(st.integers(0, 2**32))
def test_bound_with_restarts_and_membership_changes(seed):
    assert excess_of_schedule(seed, REQUEST_STEPS + MEMBER_STEPS) <= 0.001


# Each schedule exceeds the bound if one mechanism is disabled (see MECHANISMS).

BORROWED_BURST = [
    ("request_loan", "a", "b", 300),
    ("deliver", -1, False),
    ("deliver", -1, False),
    ("advance", 950),
    ("admit", "a", 600),
    ("admit", "b", 300),
    ("admit", "c", 300),
]
LATE_RESPONSE = [
    ("request_loan", "a", "b", 300),
    ("deliver", -1, False),
    ("advance", 2_500),
    ("deliver", -1, False),
    ("admit", "a", 600),
    ("admit", "b", 300),
    ("admit", "c", 300),
]
DUPLICATE_RESPONSE = [
    ("request_loan", "a", "b", 300),
    ("deliver", -1, False),
    ("deliver", -1, True),
    ("deliver", -1, False),
    ("admit", "a", 900),
    ("admit", "c", 300),
]
REFUND_AFTER_OVERFLOW = [
    ("admit", "a", 300),
    ("advance", 2_500),
    ("admit", "a", 300),
    ("settle", "a", 0, 0),
    ("admit", "a", 300),
    ("admit", "b", 300),
    ("admit", "c", 300),
]
RESTARTED_HOLDER = [
    ("request_loan", "a", "b", 300),
    ("deliver", -1, False),
    ("deliver", -1, False),
    ("crash", "b"),
    ("start", "b"),
    ("read_log", "b"),
    ("advance", 999),
    ("admit", "a", 600),
    ("admit", "b", 300),
    ("admit", "c", 300),
]
REPORT_OF_OPEN_LOAN = [
    ("borrow", "a", "b", 300),
    ("admit", "a", 60),
    ("settle", "a", 0, 0),
    ("report", "a", "b"),
    ("deliver_all",),
    ("advance", 900),
    ("admit_available_everywhere",),
]
NEW_MEMBER_BEFORE_SHARES_SHRINK = [
    ("start", "d"),
    ("read_log", "d"),
    ("advance", 2_500),
    ("admit_available_everywhere",),
]
FAST_CLOCKS = [("advance", 100), ("admit_available_everywhere",)] * 600


def lend_without_reservation(self, amount, now):
    self.refill(now)
    self.level -= amount


def refund_without_peak_check(self, amount, sequence, now):
    self.refill(now)
    self.level = min(self.level + amount, self.burst)


def receive_without_pending_check(self, loan_number, amount, now):
    pending = self._pending_by_loan_number.get(loan_number)
    expires_at = now + local_share.LOAN_LIFETIME_MS
    self._loans.append(
        borrowings.BorrowedLoan(pending.holder, loan_number, amount, expires_at)
    )


def report_open_loan(self, loan, amount):
    loan.returned += amount
    self._report(loan)


def use_newest_view(workspace, router, members):
    return (
        1 / len(members.newest_view.vms)
        if router.vm in members.newest_view.vms
        else 0.0
    )


def start_without_delay(self, start):
    original_init(self, start - local_share.LOAN_RESERVATION_MS)


original_init = local_share.LocalShare.__init__

MECHANISMS = [
    (Bucket, "lend", lend_without_reservation, BORROWED_BURST),
    (
        borrowings.Borrowings,
        "receive_loan",
        receive_without_pending_check,
        LATE_RESPONSE,
    ),
    (
        borrowings.Borrowings,
        "receive_loan",
        receive_without_pending_check,
        DUPLICATE_RESPONSE,
    ),
    (Bucket, "refund", refund_without_peak_check, REFUND_AFTER_OVERFLOW),
    (borrowings.Borrowings, "refund", report_open_loan, REPORT_OF_OPEN_LOAN),
    (fleet_model, "share_fraction", use_newest_view, NEW_MEMBER_BEFORE_SHARES_SHRINK),
    (local_share.LocalShare, "__init__", start_without_delay, RESTARTED_HOLDER),
]


@pytest.mark.parametrize("patched_object,name,replacement,steps", MECHANISMS)
def test_bound_is_exceeded_without_the_mechanism(
    patched_object, name, replacement, steps, monkeypatch
):
    assert run_steps(steps).excess() <= 0.001
    monkeypatch.setattr(patched_object, name, replacement)
    if name == "lend":
        monkeypatch.setattr(Bucket, "end_loan", lambda self, amount, now: 0)
    assert run_steps(steps).excess() > 1


def test_bound_is_exceeded_with_fast_clocks_and_no_drift_correction(monkeypatch):
    assert run_steps(FAST_CLOCKS, (1, 1, 1, 1)).excess() <= 0.001
    monkeypatch.setattr(bucket, "MAX_CLOCK_DRIFT_RATIO", 0)
    assert run_steps(FAST_CLOCKS, (1, 1, 1, 1)).excess() > 1


def test_one_router_can_borrow_the_whole_burst():
    model = FleetModel(VMS, (0, 0, 0))
    model.advance(4_000)
    for holder in ("b", "c"):
        model.request_loan("a", holder, BURST)
        model.deliver(-1)
        model.deliver(-1)
    model.admit("a", BURST)
    assert [tokens for _, tokens in model.admissions] == [BURST]
