"""Each check reports a violation of its invariant, and none if the invariant holds."""

import pytest

from mulberryhub.adapter_standins.worker import RunLine
from mulberryhub.forward.cache_scope import shared_scope
from soak.clients import INCOMPLETE, ORDER, READ, STREAM, ClientRequest
from soak.fleet import LIMITED_WORKSPACE, PERMANENT_KEYS, UNLIMITED_WORKSPACE
from soak.invariants import Observations, find_violations
from soak.plan import Step, StepKind
from soak.timeline import Span, Timeline, WorkerLimit

KEY = PERMANENT_KEYS[UNLIMITED_WORKSPACE]
EVENTS = b"".join(b"id: %d\ndata: w\n\n" % number for number in range(1, 7))
NOW_MS = 1_000_000.0
SHARED_SALT = "m1:1" + shared_scope({UNLIMITED_WORKSPACE})


def make_request(id="a", route=ORDER, status=200, body=None, sent_at=NOW_MS, **fields):
    request = ClientRequest(id, route, UNLIMITED_WORKSPACE, KEY, "r0")
    request.sent_at = sent_at
    request.ended_at = sent_at + 100
    request.status = status
    bodies = {ORDER: b"POST " + id.encode(), READ: b"GET ", STREAM: EVENTS}
    request.body = bodies[route] if body is None else body
    for name, value in fields.items():
        setattr(request, name, value)
    return request


def make_execution(
    id="a", at=NOW_MS, worker="w0", workspace=UNLIMITED_WORKSPACE, version=1, salt=""
):
    return RunLine(id, at, worker, workspace, salt, version)


def make_timeline(*spans):
    timeline = Timeline()
    timeline.spans = list(spans)
    return timeline


def make_span(kind, started_at, ended_at, target="r0"):
    span = Span(Step(0, 0, kind, 0, None), target, started_at)
    span.ended_at = ended_at
    return span


def find_violated(requests, executions, timeline=None):
    observations = Observations(requests, executions, timeline or Timeline())
    return [violation.invariant for violation in find_violations(observations)]


def test_no_violation_if_all_invariants_hold():
    stream = make_execution("s", salt="m1:1:t1")
    requests = [make_request(), make_request("r", READ), make_request("s", STREAM)]
    assert (
        find_violated(requests, [make_execution(), make_execution("r"), stream]) == []
    )


@pytest.mark.parametrize(
    "client_request, executions, invariant",
    [
        (make_request(), [make_execution(), make_execution()], "single execution"),
        (make_request(status=503), [make_execution()], "refusal"),
        (make_request(status=429), [make_execution()], "refusal"),
        (make_request("s", STREAM, body=EVENTS[:40]), [], "complete stream"),
        (make_request(body=b"POST b"), [make_execution()], "matching response"),
        (make_request(), [], "executed"),
        (make_request(), [make_execution(workspace="t2")], "workspace"),
        (make_request("s", STREAM), [make_execution("s", salt="m1:1")], "cache salt"),
        (
            make_request("s", STREAM),
            [make_execution("s", salt="m1:2:t1")],
            "cache salt",
        ),
        (
            make_request("s", STREAM, workspace=LIMITED_WORKSPACE),
            [make_execution("s", workspace=LIMITED_WORKSPACE, salt="m1:1")],
            "cache salt",
        ),
        (make_request(status=401), [], "valid key"),
        (make_request(status=404), [], "valid key"),
    ],
)
def test_violation_is_reported(client_request, executions, invariant):
    assert invariant in find_violated([client_request], executions)


@pytest.mark.parametrize(
    "kind, violated",
    [
        (None, ["withdrawal"]),
        (StepKind.STORE_FAULT, []),
        (StepKind.ADD_KEY, ["withdrawal"]),
    ],
)
@pytest.mark.parametrize("elapsed", [3_900, 20_000])
def test_withdrawn_key_is_refused_in_time_if_undisturbed(kind, violated, elapsed):
    spans = [make_span(StepKind.STORE_FAULT, NOW_MS - 9_000, NOW_MS - 6_600)]
    if kind is not None:
        spans.append(make_span(kind, NOW_MS - 3_000, NOW_MS - 2_000))
    timeline = make_timeline(*spans)
    timeline.withdrawn_at_by_key["gone"] = NOW_MS - elapsed
    assert (
        find_violated([make_request(key="gone")], [make_execution()], timeline)
        == violated
    )


@pytest.mark.parametrize(
    "kind, target, violated",
    [
        (StepKind.ROUTER_STOP, "r0", ["graceful stop"]),
        (StepKind.ROUTER_STOP, "r1", []),
        (StepKind.ROUTER_KILL, "r0", []),
    ],
)
def test_planned_stop_breaks_off_no_request(kind, target, violated):
    timeline = make_timeline(make_span(kind, NOW_MS + 50, NOW_MS + 900, target))
    assert find_violated([make_request(status=INCOMPLETE)], [], timeline) == violated


def test_draining_worker_gets_no_requests_after_time_limit():
    timeline = Timeline()
    timeline.drained_at_by_worker["w0"] = NOW_MS - 5_000
    assert find_violated([], [make_execution()], timeline) == ["drain"]
    assert find_violated([], [make_execution(at=NOW_MS - 4_000)], timeline) == []


@pytest.mark.parametrize("fault_age, violated", [(3_000, []), (7_000, ["drain"])])
def test_time_bounds_apply_once_fleet_has_settled_after_fault(fault_age, violated):
    timeline = make_timeline(
        make_span(StepKind.STORE_LINK_FAULT, NOW_MS - 9_000, NOW_MS - fault_age)
    )
    timeline.drained_at_by_worker["w0"] = NOW_MS - 2_900
    assert find_violated([], [make_execution()], timeline) == violated


def test_outdated_weights_are_replaced_in_time():
    timeline = Timeline()
    timeline.published_at_by_version[2] = NOW_MS - 7_000
    assert find_violated([], [make_execution(version=1)], timeline) == ["weights"]
    assert find_violated([], [make_execution(version=2)], timeline) == []


@pytest.mark.parametrize("started_at, violated", [(0, ["worker limit"]), (3_000, [])])
def test_worker_gets_no_more_than_its_limit_once_it_binds(started_at, violated):
    timeline = Timeline()
    timeline.limits.append(WorkerLimit("w0", 0.5, NOW_MS + started_at))
    executions = [make_execution(str(n), at=NOW_MS + 4_000 + n) for n in range(9)]
    assert find_violated([], executions, timeline) == violated
    assert find_violated([], executions[1:], timeline) == []


def test_quota_holds_in_each_window():
    def find_violated_by(count):
        requests = [
            make_request(f"s{n}", STREAM, workspace=LIMITED_WORKSPACE)
            for n in range(count)
        ]
        executions = [
            make_execution(f"s{n}", workspace=LIMITED_WORKSPACE, salt=SHARED_SALT)
            for n in range(count)
        ]
        return find_violated(requests, executions)

    assert find_violated_by(50) == []
    assert find_violated_by(60) == ["quota"]
