import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from mulberryhub.base.clock import Clock, ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.base.errors import ApiError, ErrorCode, ExecutionState
from mulberryhub.base.green import sleep, spawn
from mulberryhub.external.log import LogClient
from mulberryhub.orders.at_most_once import MAX_STORED_BODY_BYTES, AtMostOnceCaller
from mulberryhub.orders.claim_state import (
    KEY_VALIDITY_MS,
    MAX_CLOCK_LEAD_MS,
    MAX_LOG_TIME_REGRESSION_MS,
)
from mulberryhub.orders.idempotency import new_idempotency_key
from mulberryhub.orders.outcome import CallOutcome, NotSent
from mulberryhub.orders.records import Claim, decode_record
from tests.support.memory_log import MemoryLog

FINGERPRINT = b"fingerprint"
HOUR_MS = 3_600_000


class FakeService:
    """Counts the runs of a call; `answer` returns or raises the result of each."""

    def __init__(self):
        self.runs = 0
        self.answer = lambda: CallOutcome(201, [("Location", "/1")], b"done")

    def send(self):
        self.runs += 1
        return self.answer()


@pytest.fixture
def service():
    return FakeService()


@pytest.fixture
def log(fleet):
    return fleet.start("mulberryhub.standins.log")


def make_caller(log, **options):
    return AtMostOnceCaller(LogClient(log.address), Clock(), Counters(), **options)


def call(caller, key, service, fingerprint=FINGERPRINT):
    return caller.call("workspace", "/orders", key, fingerprint, service.send)


def refusal(caller, key, service, fingerprint=FINGERPRINT):
    with pytest.raises(ApiError) as raised:
        call(caller, key, service, fingerprint)
    return raised.value.code, raised.value.execution_state


def make_key(age_ms=0):
    return new_idempotency_key(Clock().wall() - age_ms)


def test_repeat_through_another_router_returns_the_same_answer(log, service):
    key = make_key()
    first = call(make_caller(log), key, service)
    again = call(make_caller(log), key, service)
    assert first == msgspec.structs.replace(again, replayed=False)
    assert again.replayed and service.runs == 1


def test_concurrent_calls_with_one_key_through_many_routers_run_once(log, service):
    key = make_key()
    callers = [make_caller(log) for _ in range(8)]
    threads = [spawn(call, caller, key, service) for caller in callers * 3]
    bodies = [thread.wait().body for thread in threads]
    assert bodies == [b"done"] * 24
    assert service.runs == 1


def test_key_is_scoped_by_workspace_and_route(log, service):
    key, caller = make_key(), make_caller(log)
    for workspace, route in (("a", "/orders"), ("b", "/orders"), ("a", "/holds")):
        caller.call(workspace, route, key, FINGERPRINT, service.send)
    assert service.runs == 3


def test_key_reused_for_another_request_is_refused(log, service):
    key = make_key()
    call(make_caller(log), key, service)
    code, execution_state = refusal(make_caller(log), key, service, b"other")
    assert (code, execution_state, service.runs) == (
        ErrorCode.IDEMPOTENCY_MISMATCH,
        ExecutionState.NOT_RUN,
        1,
    )


@pytest.mark.parametrize("fault", ["outage", "refuse_appends"])
def test_call_is_refused_while_the_log_is_unavailable(log, service, fault):
    key, caller = make_key(), make_caller(log)
    log.set_faults(**{fault: True})
    assert refusal(caller, key, service) == (
        ErrorCode.LOG_UNAVAILABLE,
        ExecutionState.NOT_RUN,
    )
    assert service.runs == 0
    log.set_faults(**{fault: None})
    caller.stop(10_000)
    sleep(0.6)
    assert call(caller, key, service).status == 201
    assert service.runs == 1


def test_claim_with_lost_append_answer_is_confirmed_by_reading(log, service):
    key = make_key()
    log.set_faults(lose_answers=1)
    assert call(make_caller(log), key, service).status == 201
    assert call(make_caller(log), key, service).replayed
    assert service.runs == 1


def test_claim_appended_after_its_timeout_is_void(log, service):
    key, caller = make_key(), make_caller(log, partition_count=1)
    log.set_faults(delay=6_000)
    assert refusal(caller, key, service) == (
        ErrorCode.LOG_UNAVAILABLE,
        ExecutionState.NOT_RUN,
    )
    log.set_faults(delay=None)
    caller.stop(20_000)
    wait_for_claim(LogClient(log.address))
    assert call(make_caller(log, partition_count=1), key, service).status == 201
    assert service.runs == 1


def wait_for_claim(log_client):
    for _ in range(200):
        records = log_client.read("claims-0", 0).records
        if any(isinstance(decode_record(record.payload), Claim) for record in records):
            return
        sleep(0.1)
    raise AssertionError("the late claim did not reach the log")


def test_result_reaches_the_log_after_an_outage(log, service):
    key, caller = make_key(), make_caller(log)

    def answer():
        log.set_faults(outage=True)
        return CallOutcome(201, [], b"done")

    service.answer = answer
    assert call(caller, key, service).status == 201
    log.set_faults(outage=None)
    caller.stop(20_000)
    assert call(make_caller(log), key, service).replayed
    assert service.runs == 1


def test_call_that_was_not_sent_may_be_repeated(log, service):
    key, caller = make_key(), make_caller(log)

    def fail():
        raise NotSent("no connection")

    service.answer = fail
    assert refusal(caller, key, service) == (
        ErrorCode.NO_UPSTREAM,
        ExecutionState.NOT_RUN,
    )
    caller.stop(10_000)
    service.answer = lambda: CallOutcome(201, [], b"done")
    assert call(make_caller(log), key, service).status == 201


def test_call_with_broken_connection_never_runs_again(log, service):
    key = make_key()

    def fail():
        raise ConnectionResetError

    service.answer = fail
    assert refusal(make_caller(log), key, service) == (
        ErrorCode.UPSTREAM_FAILED,
        ExecutionState.UNKNOWN,
    )
    assert refusal(make_caller(log), key, service) == (
        ErrorCode.OUTCOME_UNKNOWN,
        ExecutionState.UNKNOWN,
    )
    assert service.runs == 1


def test_answer_after_the_caller_timeout_is_stored(log, service):
    key, caller = make_key(), make_caller(log, answer_timeout_ms=100)

    def answer_late():
        sleep(2)
        return CallOutcome(201, [], b"late")

    service.answer = answer_late
    assert refusal(caller, key, service) == (
        ErrorCode.UPSTREAM_SILENT,
        ExecutionState.UNKNOWN,
    )
    assert refusal(make_caller(log), key, service) == (
        ErrorCode.IN_PROGRESS,
        ExecutionState.UNKNOWN,
    )
    sleep(1.5)
    assert call(make_caller(log), key, service).body == b"late"
    assert service.runs == 1


def test_call_of_a_crashed_router_has_an_unknown_outcome(log, service):
    key = make_key()
    service.answer = lambda: sleep(30)
    spawn(call, make_caller(log, answer_timeout_ms=100), key, service)
    sleep(0.5)
    other = make_caller(log, in_progress_limit_ms=1_000)
    assert refusal(other, key, service) == (
        ErrorCode.OUTCOME_UNKNOWN,
        ExecutionState.UNKNOWN,
    )
    assert service.runs == 1


def test_answer_above_the_size_limit_is_not_stored(log, service):
    key = make_key()
    service.answer = lambda: CallOutcome(200, [], b"x" * (MAX_STORED_BODY_BYTES + 1))
    call(make_caller(log), key, service)
    assert refusal(make_caller(log), key, service) == (
        ErrorCode.RESULT_NOT_KEPT,
        ExecutionState.RAN,
    )


def test_key_outside_its_window_is_refused(log, service):
    caller = make_caller(log)
    old, future = (
        make_key(KEY_VALIDITY_MS + 1_000),
        make_key(-MAX_CLOCK_LEAD_MS - 5_000),
    )
    expired = (ErrorCode.IDEMPOTENCY_KEY_EXPIRED, ExecutionState.NOT_RUN)
    assert refusal(caller, old, service) == expired
    assert refusal(caller, future, service) == (
        ErrorCode.BAD_REQUEST,
        ExecutionState.NOT_RUN,
    )
    assert service.runs == 0


class WrongClock(Clock):
    """A clock whose wall time is off by `error` ms."""

    __slots__ = ("error",)

    def __init__(self, error):
        self.error = error

    def wall(self):
        return super().wall() + self.error


@pytest.mark.parametrize("error", [-HOUR_MS, HOUR_MS], ids=["behind", "ahead"])
def test_call_runs_once_whatever_the_wall_clocks_of_routers_say(log, service, error):
    def make_wrong_caller():
        client = LogClient(log.address)
        return AtMostOnceCaller(client, WrongClock(error), Counters())

    for first, second in (
        (make_wrong_caller(), make_caller(log)),
        (make_caller(log), make_wrong_caller()),
    ):
        key, runs = make_key(), service.runs
        answers = [call(first, key, service), call(second, key, service)]
        assert [answer.replayed for answer in answers] == [False, True]
        assert service.runs == runs + 1


def test_repeat_after_the_records_expired_is_refused(log, service):
    key, caller = make_key(), make_caller(log, partition_count=1)
    call(caller, key, service)
    log.set_faults(retention=1)
    for _ in range(3):
        refusal(make_caller(log, partition_count=1), make_key(), service)
    for late_caller in (make_caller(log, partition_count=1), caller):
        expired = (ErrorCode.IDEMPOTENCY_KEY_EXPIRED, ExecutionState.UNKNOWN)
        assert refusal(late_caller, key, service) == expired
    assert service.runs == 1


def test_key_without_creation_time_is_valid_for_one_window():
    clock = ManualClock()
    log, service = MemoryLog(clock), FakeService()
    callers = [
        AtMostOnceCaller(log, clock, Counters(), partition_count=1) for _ in range(2)
    ]
    call(callers[0], "order-17", service)
    clock.advance(KEY_VALIDITY_MS - 1_000)
    assert call(callers[1], "order-17", service).replayed
    assert service.runs == 1
    clock.advance(MAX_LOG_TIME_REGRESSION_MS + 2_000)
    call(callers[0], "order-18", FakeService())
    assert not call(callers[1], "order-17", service).replayed
    assert call(callers[0], "order-17", service).replayed
    assert service.runs == 2


def test_repeat_without_creation_time_is_refused_after_the_records_expired(
    log, service
):
    caller = make_caller(log, partition_count=1)
    call(caller, "order-17", service)
    log.set_faults(retention=1)
    for _ in range(3):
        refusal(make_caller(log, partition_count=1), make_key(), service)
    late_caller = make_caller(log, partition_count=1)
    expired = (ErrorCode.IDEMPOTENCY_KEY_EXPIRED, ExecutionState.UNKNOWN)
    assert refusal(late_caller, "order-17", service) == expired
    assert service.runs == 1


FAULTS = st.sampled_from(["none"] * 4 + ["lost", "late", "refused"])
PAUSES_MS = st.integers(0, 3)
# Index of the caller, index of the key, pause in ms, whether the connection breaks.
CALLS = st.lists(
    st.tuples(st.integers(0, 2), st.integers(0, 1), PAUSES_MS, st.booleans()),
    min_size=2,
    max_size=8,
)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(CALLS, st.lists(FAULTS, max_size=12), st.lists(PAUSES_MS, max_size=30))
def test_no_interleaving_of_calls_and_faults_runs_a_key_twice(calls, faults, pauses):
    clock = ManualClock()
    log = MemoryLog(
        clock,
        lambda: faults.pop() if faults else "none",
        lambda: pauses.pop() if pauses else 0,
    )
    callers = [
        AtMostOnceCaller(log, clock, Counters(), partition_count=1) for _ in range(3)
    ]
    keys = [new_idempotency_key(clock.wall()), "order-17"]
    services = [FakeService(), FakeService()]

    def attempt(caller_index, key_index, pause_ms, is_broken):
        def send():
            sleep(pause_ms / 1000)
            services[key_index].runs += 1
            if is_broken:
                raise ConnectionResetError
            return CallOutcome(200, [], b"")

        sleep(pause_ms / 1000)
        try:
            callers[caller_index].call("w", "/r", keys[key_index], FINGERPRINT, send)
        except ApiError as error:
            return key_index, error.execution_state
        return key_index, ExecutionState.RAN

    threads = [spawn(attempt, *values) for values in calls]
    spawn(advance_clock, clock)
    results = [thread.wait() for thread in threads]
    for index, service in enumerate(services):
        reported = [
            execution_state
            for key_index, execution_state in results
            if key_index == index
        ]
        assert service.runs <= 1
        if set(reported) == {ExecutionState.NOT_RUN}:
            assert service.runs == 0
        if ExecutionState.RAN in reported:
            assert service.runs == 1


def advance_clock(clock):
    for _ in range(200):
        sleep(0.005)
        clock.advance(100)
