"""Streams that break off, or that go on with something else than their events.

The routers are processes of their own; the workers are stand-ins.
"""

import time
from itertools import count

import pytest

from mulberryhub.adapter_standins.documents import make_config, route
from mulberryhub.adapter_standins.fleet import PlatformFleet, wait_until
from tests.adapter.raw_workers import RawWorker
from tests.support.broken_connections import allow_broken_connection

EVENT_TYPE = b"Content-Type: text/event-stream\r\n"
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
TORN_EVENT = b"id: 3\nda"
PATH_BY_KIND = {"resumable": "/resumable/", "single": "/single/"}
NUMBERS = count()


@pytest.fixture(scope="module")
def platform(tmp_path_factory):
    fleet = PlatformFleet(tmp_path_factory.mktemp("platform"), routers=1)
    routes = [
        route(kind, path, "streaming", kind, maxAttempts=2)
        for kind, path in PATH_BY_KIND.items()
    ]
    routes[0]["canResume"] = True
    services = [{"name": kind} for kind in PATH_BY_KIND]
    fleet.configure(make_config(routes=routes, services=services))
    try:
        yield fleet
    finally:
        fleet.close()


@pytest.fixture
def start_worker(platform):
    workers = []

    def start(kind, respond):
        worker = RawWorker(platform, f"w{next(NUMBERS)}", kind, respond)
        workers.append(worker)
        return worker

    yield start
    for worker in workers:
        worker.close()
        wait_until(lambda: has_line(platform, "upstream gone", worker.id))  # noqa: B023


def has_line(platform, message, upstream):
    return any(
        line["message"] == message and line.get("upstream") == upstream
        for line in platform.routers[0].lines()
    )


def send_chunked(conn, data):
    conn.sendall(b"Transfer-Encoding: chunked\r\n\r\n")
    conn.sendall(b"%x\r\n%s\r\n0\r\n\r\n" % (len(data), data))
    return True


def send_until_closed(conn, data):
    conn.sendall(b"Connection: close\r\n\r\n" + data)
    return False


def send_with_length(conn, data):
    conn.sendall(b"Content-Length: %d\r\n\r\n" % len(data) + data)
    return True


SENDERS = [send_chunked, send_until_closed, send_with_length]


def ask(platform, kind, **headers):
    """Return the complete answer to a stream that ran, or None if it broke off.

    In names of `headers`, `_` stands for `-`.
    """
    deadline = time.monotonic() + 10
    while (
        answer := ask_once(platform, kind, **headers)
    ) is not None and answer.status == 503:
        assert time.monotonic() < deadline
        time.sleep(0.1)
    return answer


def ask_once(platform, kind, **headers):
    number = next(NUMBERS)
    with allow_broken_connection():
        return platform.routers[0].ask(
            f"{PATH_BY_KIND[kind]}{number}", id=f"n-{number}", **headers
        )
    return None


def wait_until_known(platform, *workers):
    for worker in workers:
        wait_until(lambda: has_line(platform, "upstream known", worker.id))  # noqa: B023


@pytest.mark.parametrize("send", SENDERS)
@pytest.mark.parametrize("kind", PATH_BY_KIND)
def test_stream_that_ends_inside_an_event_is_broken_off(
    platform, start_worker, kind, send
):
    def respond(conn, id, worker):
        conn.sendall(worker.head(id) + EVENT_TYPE)
        return send(conn, EVENTS + TORN_EVENT)

    wait_until_known(platform, start_worker(kind, respond))
    answer = ask(platform, kind)
    assert answer is None or answer.status in (502, 504)


@pytest.mark.parametrize("send", SENDERS)
@pytest.mark.parametrize("kind", PATH_BY_KIND)
def test_stream_that_ends_after_an_event_is_complete(
    platform, start_worker, kind, send
):
    def respond(conn, id, worker):
        conn.sendall(worker.head(id) + EVENT_TYPE)
        return send(conn, EVENTS)

    wait_until_known(platform, start_worker(kind, respond))
    answer = ask(platform, kind)
    assert (answer.status, answer.data) == (200, EVENTS)


@pytest.mark.parametrize("kind", PATH_BY_KIND)
def test_stream_that_is_closed_before_its_first_event_is_broken_off(
    platform, start_worker, kind
):
    def respond(conn, id, worker):
        conn.sendall(worker.head(id) + EVENT_TYPE)
        return send_until_closed(conn, b"")

    wait_until_known(platform, start_worker(kind, respond))
    answer = ask(platform, kind)
    assert answer is None or answer.status in (502, 504)


@pytest.mark.parametrize("send", [send_chunked, send_until_closed])
def test_stream_that_ends_inside_an_event_is_resumed(platform, start_worker, send):
    asked = []

    def respond(conn, id, worker):
        conn.sendall(worker.head(id) + EVENT_TYPE)
        asked.append(worker.id)
        if len(asked) == 1:
            return send(conn, EVENTS + TORN_EVENT)
        return send_chunked(conn, b"id: 3\ndata: c\n\n")

    workers = [start_worker("resumable", respond) for _ in range(2)]
    wait_until_known(platform, *workers)
    answer = ask(platform, "resumable")
    assert (answer.status, answer.data) == (200, EVENTS + b"id: 3\ndata: c\n\n")
    assert len(set(asked)) == 2


NO_EVENTS = [
    (EVENT_TYPE, b"upstream error"),
    (EVENT_TYPE, b"upstream error\n\nsee the log\n\n"),
    (b"Content-Type: text/plain\r\n", b"upstream error\n\n"),
    (b"", b"upstream error"),
    (b"", b"HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nno"),
]


@pytest.mark.parametrize("send", SENDERS)
@pytest.mark.parametrize("type, body", NO_EVENTS)
@pytest.mark.parametrize("kind", PATH_BY_KIND)
def test_answer_that_is_no_stream_does_not_pass_for_one(
    platform, start_worker, kind, type, body, send
):
    def respond(conn, id, worker):
        conn.sendall(worker.head(id) + type)
        return send(conn, body)

    wait_until_known(platform, start_worker(kind, respond))
    answer = ask(platform, kind)
    assert answer is None or answer.status in (502, 504)


@pytest.mark.parametrize("send", SENDERS)
@pytest.mark.parametrize("type, body", NO_EVENTS)
def test_answer_that_is_no_stream_does_not_continue_one(
    platform, start_worker, type, body, send
):
    asked = []

    def respond(conn, id, worker):
        asked.append(worker.id)
        if len(asked) == 1:
            conn.sendall(worker.head(id) + EVENT_TYPE + b"Connection: close\r\n\r\n")
            conn.sendall(EVENTS + TORN_EVENT)
            time.sleep(0.05)
            return False
        conn.sendall(worker.head(id) + type)
        return send(conn, body)

    workers = [start_worker("resumable", respond) for _ in range(2)]
    wait_until_known(platform, *workers)
    assert ask(platform, "resumable") is None
    assert len(set(asked)) == 2


@pytest.fixture
def take_up(platform, start_worker):
    """Return a function that asks for a stream which a second worker takes up.

    The first worker breaks off after two events; the second one sends the given head
    behind its first lines, whose status line is replaced by `status`.
    """

    def ask_for(status, fields):
        asked = []

        def respond(conn, id, worker):
            asked.append(worker.id)
            if len(asked) == 1:
                conn.sendall(worker.head(id) + EVENT_TYPE)
                return send_until_closed(conn, EVENTS + TORN_EVENT)
            conn.sendall(worker.head(id).replace(b"200 OK", status) + fields + b"\r\n")
            return True

        workers = [start_worker("resumable", respond) for _ in range(2)]
        wait_until_known(platform, *workers)
        answer = ask(platform, "resumable")
        assert len(set(asked)) == 2
        return answer

    return ask_for


@pytest.mark.parametrize("status", [201, 202, 204, 205, 206])
def test_other_success_without_a_body_does_not_complete_a_stream(take_up, status):
    fields = b"" if status == 204 else b"Content-Length: 0\r\n"
    assert take_up(b"%d Other" % status, fields) is None


def test_empty_answer_of_no_type_does_not_complete_a_stream(take_up):
    assert take_up(b"200 OK", b"Content-Length: 0\r\n") is None


def has_recovered(platform, worker):
    message = f"upstream {worker.id} has recovered"
    return any(line["message"] == message for line in platform.routers[0].lines())


@pytest.mark.parametrize(
    "answer",
    [
        b"Content-Type: text/plain\r\nContent-Length: 4\r\n\r\njunk",
        EVENT_TYPE + b"Transfer-Encoding: chunked\r\n\r\njunk\r\n",
        EVENT_TYPE + b"Content-Length: 17\r\n\r\nid: 9\ndata: junk\n",
    ],
    ids=["other_type", "chunk_size", "event_without_end"],
)
def test_worker_that_sends_garbage_only_does_not_count_as_sound(
    platform, start_worker, answer
):
    def respond(conn, id, worker):
        conn.sendall(worker.head(id) + answer)
        return True

    worker = start_worker("single", respond)
    wait_until_known(platform, worker)
    for _ in range(3):
        ask(platform, "single")
    assert len(worker.runs) == 3
    assert not has_recovered(platform, worker)


def test_last_event_id_does_not_break_a_stream_that_cannot_be_resumed(
    platform, start_worker
):
    def respond(conn, id, worker):
        conn.sendall(worker.head(id) + EVENT_TYPE)
        return send_chunked(conn, EVENTS)

    wait_until_known(platform, start_worker("single", respond))
    answer = ask(platform, "single", Last_Event_Id="1")
    assert answer is not None
    assert (answer.status, answer.data) == (200, EVENTS)


def failed_attempts(platform, worker):
    return [
        line
        for line in platform.routers[0].lines()
        if line["message"] == "attempt failed" and line["upstream"] == worker.id
    ]


@pytest.mark.parametrize("send", [send_chunked, send_with_length])
def test_stated_end_inside_an_event_is_no_sign_of_a_crash(platform, start_worker, send):
    def respond(conn, id, worker):
        conn.sendall(worker.head(id) + EVENT_TYPE)
        return send(conn, TORN_EVENT)

    worker = start_worker("single", respond)
    wait_until_known(platform, worker)
    ask(platform, "single")
    assert [line["is_cut"] for line in failed_attempts(platform, worker)] == [False]
