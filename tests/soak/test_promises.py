"""Each check of the soak sees its breach, and nothing where the promise was kept."""

import pytest

from mulberryhub.adapter_standins.worker import RunLine
from soak.clients import CUT, ORDER, READ, STREAM, Seen
from soak.fleet import KEPT_KEYS, LIMITED_WORKSPACE, OPEN_WORKSPACE
from soak.history import History, Span
from soak.plan import Step, StepKind
from soak.promises import Evidence, find_breaches

KEY = KEPT_KEYS[OPEN_WORKSPACE]
EVENTS = b"".join(b"id: %d\ndata: w\n\n" % number for number in range(1, 7))
NOW = 1_000_000.0  # ms


def make_seen(id="a", kind=ORDER, status=200, body=None, at=NOW, **more):
    seen = Seen(id, kind, OPEN_WORKSPACE, KEY, "r0")
    seen.sent_at = at
    seen.ended_at = at + 100
    seen.status = status
    bodies = {ORDER: b"POST " + id.encode(), READ: b"GET ", STREAM: EVENTS}
    seen.body = bodies[kind] if body is None else body
    for name, value in more.items():
        setattr(seen, name, value)
    return seen


def make_run(id="a", at=NOW, worker="w0", workspace=OPEN_WORKSPACE, version=1, salt=""):
    return RunLine(id, at, worker, workspace, salt, version)


def make_history(*spans):
    history = History()
    history.spans = list(spans)
    return history


def make_span(kind, began, ended, target="r0"):
    span = Span(Step(0, 0, kind, 0, None), target, began)
    span.ended = ended
    return span


def names(seen, runs, history=None):
    evidence = Evidence(seen, runs, history or History())
    return [breach.promise for breach in find_breaches(evidence)]


def test_what_is_kept_is_no_breach():
    stream = make_run("s", salt="m1:1:t1")
    seen = [make_seen(), make_seen("r", READ), make_seen("s", STREAM)]
    assert names(seen, [make_run(), make_run("r"), stream]) == []


@pytest.mark.parametrize(
    "seen, runs, promise",
    [
        (make_seen(), [make_run(), make_run()], "once"),
        (make_seen(status=503), [make_run()], "not run"),
        (make_seen(status=429), [make_run()], "not run"),
        (make_seen("s", STREAM, body=EVENTS[:40]), [], "whole"),
        (make_seen(body=b"POST b"), [make_run()], "own"),
        (make_seen(), [], "run"),
        (make_seen(), [make_run(workspace="t2")], "workspace"),
        (make_seen("s", STREAM), [make_run("s", salt="m1:1")], "cache"),
        (make_seen("s", STREAM), [make_run("s", salt="m1:2:t1")], "cache"),
        (make_seen(status=401), [], "known"),
        (make_seen(status=404), [], "known"),
    ],
)
def test_a_breach_is_seen(seen, runs, promise):
    assert promise in names([seen], runs)


@pytest.mark.parametrize(
    "kind, promises",
    [
        (None, ["withdrawal"]),
        (StepKind.STORE_FAULT, []),
        (StepKind.ADD_KEY, ["withdrawal"]),
    ],
)
@pytest.mark.parametrize("ago", [3_900, 20_000])
def test_a_withdrawn_key_must_stop_in_time_while_all_is_calm(kind, promises, ago):
    spans = [make_span(StepKind.STORE_FAULT, NOW - 9_000, NOW - 6_600)]
    if kind is not None:
        spans.append(make_span(kind, NOW - 3_000, NOW - 2_000))
    history = make_history(*spans)
    history.withdrawn_at_by_key["gone"] = NOW - ago
    assert names([make_seen(key="gone")], [make_run()], history) == promises


@pytest.mark.parametrize(
    "kind, target, promises",
    [
        (StepKind.ROUTER_STOP, "r0", ["stop"]),
        (StepKind.ROUTER_STOP, "r1", []),
        (StepKind.ROUTER_KILL, "r0", []),
    ],
)
def test_a_planned_stop_cuts_nothing(kind, target, promises):
    history = make_history(make_span(kind, NOW + 50, NOW + 900, target))
    assert names([make_seen(status=CUT)], [], history) == promises


def test_a_worker_that_leaves_gets_nothing_after_a_while():
    history = History()
    history.left_at_by_id["w0"] = NOW - 5_000
    assert names([], [make_run()], history) == ["leaving"]
    assert names([], [make_run(at=NOW - 4_000)], history) == []


@pytest.mark.parametrize("ended, promises", [(3_000, []), (7_000, ["leaving"])])
def test_bounds_in_time_begin_to_hold_a_while_after_a_fault(ended, promises):
    history = make_history(
        make_span(StepKind.STORE_LINK_FAULT, NOW - 9_000, NOW - ended)
    )
    history.left_at_by_id["w0"] = NOW - 2_900
    assert names([], [make_run()], history) == promises


def test_old_weights_stop_in_time():
    history = History()
    history.named_at_by_version[2] = NOW - 7_000
    assert names([], [make_run(version=1)], history) == ["weights"]
    assert names([], [make_run(version=2)], history) == []


def test_a_quota_binds_in_each_window():
    def ask(count):
        seen = [
            make_seen(f"s{n}", STREAM, workspace=LIMITED_WORKSPACE)
            for n in range(count)
        ]
        runs = [
            make_run(f"s{n}", workspace=LIMITED_WORKSPACE, salt="m1:1")
            for n in range(count)
        ]
        return names(seen, runs)

    assert ask(50) == []
    assert ask(60) == ["quota"]
