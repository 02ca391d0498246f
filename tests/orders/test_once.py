import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from mulberryhub.base.clock import Clock, ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.base.errors import Code, HubError, Ran
from mulberryhub.base.green import sleep, spawn
from mulberryhub.external.log import LogClient
from mulberryhub.orders.idempotency import new_key
from mulberryhub.orders.once import MAX_KEPT_BODY, OnceCaller
from mulberryhub.orders.outcome import NotSent, Outcome
from mulberryhub.orders.records import Claim, decode_record
from mulberryhub.orders.standing import KEY_WINDOW, MAX_CLOCK_LEAD, MAX_LOG_STEP
from tests.support.memory_log import MemoryLog

PRINT = b"fingerprint"


class Worker:
    """Counts runs by key; `answer` tells what each run gives."""

    def __init__(self):
        self.runs = 0
        self.answer = lambda: Outcome(201, [("Location", "/1")], b"done")

    def send(self):
        self.runs += 1
        return self.answer()


@pytest.fixture
def worker():
    return Worker()


@pytest.fixture
def log(fleet):
    return fleet.start("mulberryhub.standins.log")


def router(log, **options):
    return OnceCaller(LogClient(log.address), Clock(), Counters(), **options)


def call(caller, key, worker, fingerprint=PRINT):
    return caller.call("workspace", "/orders", key, fingerprint, worker.send)


def refusal(caller, key, worker, fingerprint=PRINT):
    with pytest.raises(HubError) as raised:
        call(caller, key, worker, fingerprint)
    return raised.value.code, raised.value.ran


def fresh_key(age=0):
    return new_key(Clock().wall() - age)


def test_repeat_through_another_router_gets_the_same_answer(log, worker):
    key = fresh_key()
    first = call(router(log), key, worker)
    again = call(router(log), key, worker)
    assert first == msgspec.structs.replace(again, replayed=False)
    assert again.replayed and worker.runs == 1


def test_same_call_through_many_routers_at_once(log, worker):
    key = fresh_key()
    routers = [router(log) for _ in range(8)]
    threads = [spawn(call, caller, key, worker) for caller in routers * 3]
    bodies = [thread.wait().body for thread in threads]
    assert bodies == [b"done"] * 24
    assert worker.runs == 1


def test_key_is_scoped(log, worker):
    key, caller = fresh_key(), router(log)
    for workspace, route in (("a", "/orders"), ("b", "/orders"), ("a", "/holds")):
        caller.call(workspace, route, key, PRINT, worker.send)
    assert worker.runs == 3


def test_other_request_with_the_key_is_refused(log, worker):
    key = fresh_key()
    call(router(log), key, worker)
    code, ran = refusal(router(log), key, worker, b"other")
    assert (code, ran, worker.runs) == (Code.IDEMPOTENCY_MISMATCH, Ran.NOT_RUN, 1)


@pytest.mark.parametrize("fault", ["outage", "refuse_appends"])
def test_log_out(log, worker, fault):
    key, caller = fresh_key(), router(log)
    log.fault(**{fault: True})
    assert refusal(caller, key, worker) == (Code.LOG_UNAVAILABLE, Ran.NOT_RUN)
    assert worker.runs == 0
    log.fault(**{fault: None})
    caller.stop(10_000)
    sleep(0.6)
    assert call(caller, key, worker).status == 201
    assert worker.runs == 1


def test_lost_answer_to_the_claim_is_settled_by_reading(log, worker):
    key = fresh_key()
    log.fault(lose_answers=1)
    assert call(router(log), key, worker).status == 201
    assert call(router(log), key, worker).replayed
    assert worker.runs == 1


def test_claim_that_takes_effect_after_it_was_given_up_is_void(log, worker):
    key, caller = fresh_key(), router(log, partitions=1)
    log.fault(delay=6_000)
    assert refusal(caller, key, worker) == (Code.LOG_UNAVAILABLE, Ran.NOT_RUN)
    log.fault(delay=None)
    caller.stop(20_000)
    await_claim(LogClient(log.address))
    assert call(router(log, partitions=1), key, worker).status == 201
    assert worker.runs == 1


def await_claim(client):
    for _ in range(200):
        records = client.read("claims-0", 0).records
        if any(isinstance(decode_record(item.payload), Claim) for item in records):
            return
        sleep(0.1)
    raise AssertionError("the late claim did not reach the log")


def test_result_reaches_the_log_after_an_outage(log, worker):
    key, caller = fresh_key(), router(log)

    def answer():
        log.fault(outage=True)
        return Outcome(201, [], b"done")

    worker.answer = answer
    assert call(caller, key, worker).status == 201
    log.fault(outage=None)
    caller.stop(20_000)
    assert call(router(log), key, worker).replayed
    assert worker.runs == 1


def test_unsent_call_may_run_again(log, worker):
    key, caller = fresh_key(), router(log)

    def fail():
        raise NotSent("no connection")

    worker.answer = fail
    assert refusal(caller, key, worker) == (Code.NO_UPSTREAM, Ran.NOT_RUN)
    caller.stop(10_000)
    worker.answer = lambda: Outcome(201, [], b"done")
    assert call(router(log), key, worker).status == 201


def test_broken_call_never_runs_again(log, worker):
    key = fresh_key()

    def fail():
        raise ConnectionResetError

    worker.answer = fail
    assert refusal(router(log), key, worker) == (Code.UPSTREAM_FAILED, Ran.UNKNOWN)
    assert refusal(router(log), key, worker) == (Code.OUTCOME_UNKNOWN, Ran.UNKNOWN)
    assert worker.runs == 1


def test_late_answer_is_kept(log, worker):
    key, caller = fresh_key(), router(log, answer_timeout=100)

    def late():
        sleep(2)
        return Outcome(201, [], b"late")

    worker.answer = late
    assert refusal(caller, key, worker) == (Code.UPSTREAM_SILENT, Ran.UNKNOWN)
    assert refusal(router(log), key, worker) == (Code.IN_PROGRESS, Ran.UNKNOWN)
    sleep(1.5)
    assert call(router(log), key, worker).body == b"late"
    assert worker.runs == 1


def test_call_of_a_dead_router_has_an_unknown_outcome(log, worker):
    key = fresh_key()
    worker.answer = lambda: sleep(30)
    spawn(call, router(log, answer_timeout=100), key, worker)
    sleep(0.5)
    other = router(log, progress_limit=1_000)
    assert refusal(other, key, worker) == (Code.OUTCOME_UNKNOWN, Ran.UNKNOWN)
    assert worker.runs == 1


def test_long_answer_is_not_kept(log, worker):
    key = fresh_key()
    worker.answer = lambda: Outcome(200, [], b"x" * (MAX_KEPT_BODY + 1))
    call(router(log), key, worker)
    assert refusal(router(log), key, worker) == (Code.RESULT_NOT_KEPT, Ran.RAN)


def test_key_outside_its_time_is_refused(log, worker):
    caller = router(log)
    old, young = fresh_key(KEY_WINDOW + 1_000), fresh_key(-MAX_CLOCK_LEAD - 5_000)
    expired = (Code.IDEMPOTENCY_KEY_EXPIRED, Ran.NOT_RUN)
    assert refusal(caller, old, worker) == expired
    assert refusal(caller, young, worker) == (Code.BAD_REQUEST, Ran.NOT_RUN)
    assert worker.runs == 0


def test_repeat_after_retention_is_refused(log, worker):
    key, caller = fresh_key(), router(log, partitions=1)
    call(caller, key, worker)
    log.fault(retention=1)
    for _ in range(3):
        refusal(router(log, partitions=1), fresh_key(), worker)
    for late in (router(log, partitions=1), caller):
        expired = (Code.IDEMPOTENCY_KEY_EXPIRED, Ran.UNKNOWN)
        assert refusal(late, key, worker) == expired
    assert worker.runs == 1


def test_key_without_time_counts_for_a_window():
    clock = ManualClock()
    log, worker = MemoryLog(clock), Worker()
    callers = [OnceCaller(log, clock, Counters(), partitions=1) for _ in range(2)]
    call(callers[0], "order-17", worker)
    clock.advance(KEY_WINDOW - 1_000)
    assert call(callers[1], "order-17", worker).replayed
    assert worker.runs == 1
    clock.advance(MAX_LOG_STEP + 2_000)
    call(callers[0], "order-18", Worker())
    assert not call(callers[1], "order-17", worker).replayed
    assert call(callers[0], "order-17", worker).replayed
    assert worker.runs == 2


def test_repeat_without_time_is_refused_where_records_have_expired(log, worker):
    caller = router(log, partitions=1)
    call(caller, "order-17", worker)
    log.fault(retention=1)
    for _ in range(3):
        refusal(router(log, partitions=1), fresh_key(), worker)
    late = router(log, partitions=1)
    expired = (Code.IDEMPOTENCY_KEY_EXPIRED, Ran.UNKNOWN)
    assert refusal(late, "order-17", worker) == expired
    assert worker.runs == 1


FAULTS = st.sampled_from(["none"] * 4 + ["lost", "late", "refused"])
PAUSES = st.integers(0, 3)
CALLS = st.lists(
    st.tuples(st.integers(0, 2), st.integers(0, 1), PAUSES, st.booleans()),
    min_size=2,
    max_size=8,
)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(CALLS, st.lists(FAULTS, max_size=12), st.lists(PAUSES, max_size=30))
def test_no_interleaving_runs_a_key_twice(calls, faults, pauses):
    clock = ManualClock()
    log = MemoryLog(
        clock,
        lambda: faults.pop() if faults else "none",
        lambda: pauses.pop() if pauses else 0,
    )
    callers = [OnceCaller(log, clock, Counters(), partitions=1) for _ in range(3)]
    keys = [new_key(clock.wall()), "order-17"]
    workers = [Worker(), Worker()]

    def attempt(caller, index, pause, breaks):
        def send():
            sleep(pause / 1000)
            workers[index].runs += 1
            if breaks:
                raise ConnectionResetError
            return Outcome(200, [], b"")

        sleep(pause / 1000)
        try:
            callers[caller].call("w", "/r", keys[index], PRINT, send)
        except HubError as error:
            return index, error.ran
        return index, Ran.RAN

    threads = [spawn(attempt, *values) for values in calls]
    spawn(tick, clock)
    results = [thread.wait() for thread in threads]
    for index, worker in enumerate(workers):
        runs = [ran for which, ran in results if which == index]
        assert worker.runs <= 1
        if set(runs) == {Ran.NOT_RUN}:
            assert worker.runs == 0
        if Ran.RAN in runs:
            assert worker.runs == 1


def tick(clock):
    for _ in range(200):
        sleep(0.005)
        clock.advance(100)
