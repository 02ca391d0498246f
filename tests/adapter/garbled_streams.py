"""Streams of stand-in workers that send bytes that are no part of their run.

A Case says which bytes come where, in which framing, and what follows them. `respond`
plays it for a RawWorker, and `read_answer` reads what a client gets.
"""

import socket
import struct
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from itertools import count, product

import msgspec

from mulberryhub.adapter_standins.documents import (
    KEY,
    call_headers,
    make_config,
    route,
)
from mulberryhub.adapter_standins.fleet import PlatformFleet, wait_until
from tests.adapter.raw_workers import RawWorker
from tests.adapter.test_field_faults import has_log_line

PATH_BY_ROUTE = {"resumable": "/resumable/", "single": "/single/"}
WORKERS_OF_ROUTE = 2
MAX_CONCURRENT_CASES = 40
READY_TIMEOUT_S = 10
RUNS = count()
GARBLED_TWICE = "twice"
EVENT_COUNT = 5
READ_TIMEOUT_S = 10
EVENT_TYPE = b"Content-Type: text/event-stream\r\n"
WEIGHTS = b"x-mulberryhub-weight-versions"
SEPARATOR = "."


def event(number):
    """Return the event `number` of a run."""
    return b"id: %d\ndata: t%d\n\n" % (number, number)


EVENTS = [event(number) for number in range(1, EVENT_COUNT + 1)]
PREFIXES = [b"".join(EVENTS[:length]) for length in range(EVENT_COUNT + 1)]

# What a faulty worker sends. A block has its blank line; the others join what follows.
GARBAGE_BY_NAME = {
    "data_without_id": b"data: junk\n\n",
    "empty_id": b"id: \ndata: junk\n\n",
    "empty_id_without_space": b"id:\ndata: junk\n\n",
    "id_without_colon": b"id\ndata: junk\n\n",
    "id_of_letters": b"id: x\ndata: junk\n\n",
    "negative_id": b"id: -9\ndata: junk\n\n",
    "signed_id": b"id: +9\ndata: junk\n\n",
    "fractional_id": b"id: 9.5\ndata: junk\n\n",
    "id_with_underscore": b"id: 1_0\ndata: junk\n\n",
    "hexadecimal_id": b"id: 0x9\ndata: junk\n\n",
    "id_of_other_digits": "id: \u0669\ndata: junk\n\n".encode(),
    "id_with_leading_zero": b"id: 09\ndata: junk\n\n",
    "id_with_spaces": b"id:  9 \ndata: junk\n\n",
    "id_with_nul": b"id: 9\x00\ndata: junk\n\n",
    "id_zero": b"id: 0\ndata: junk\n\n",
    "id_of_5000_digits": b"id: " + b"9" * 5_000 + b"\ndata: junk\n\n",
    "two_ids": b"id: 9\nid: 10\ndata: junk\n\n",
    "id_behind_data": b"data: junk\nid: 9\n\n",
    "id_alone": b"id: 9\n\n",
    "data_without_colon": b"id: 9\ndata\n\n",
    "event_type_alone": b"event: junk\n\n",
    "event_type_without_id": b"event: error\ndata: junk\n\n",
    "event_type_with_id": b"event: error\nid: 9\ndata: junk\n\n",
    "retry_time": b"retry: 10\n\n",
    "comment": b": junk\n\n",
    "comment_without_text": b":\n\n",
    "unknown_field": b"junk: 1\n\n",
    "unknown_field_in_event": b"id: 9\njunk: 1\ndata: junk\n\n",
    "field_prefix": b"database: junk\n\n",
    "upper_case_fields": b"ID: 9\nDATA: junk\n\n",
    "indented_fields": b" id: 9\n data: junk\n\n",
    "byte_order_mark": b"\xef\xbb\xbfid: 9\ndata: junk\n\n",
    "carriage_return_in_line": b"id: 9\rdata: junk\n\n",
    "carriage_returns_only": b"id: 9\rdata: junk\r\r",
    "invalid_utf_8": b"id: 9\ndata: \xff\xfe\n\n",
    "weights_alone": WEIGHTS + b": 2\n\n",
    "weights_without_number": WEIGHTS + b": x\nid: 9\ndata: junk\n\n",
    "weights_behind_id": b"id: 9\n" + WEIGHTS + b": 2\ndata: junk\n\n",
    "words": b"junk\n\n",
    "blank_line": b"\n",
    "blank_lines_of_both_kinds": b"\r\n\n",
    "binary": b"\x16\x03\x01\x00\x2a\x02\x00\x00",
    "response_head": b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\njunk",
    "open_field": b"event: junk\n",
    "open_data": b"data: junk\n",
    "open_data_without_line_end": b"data: junk",
    "open_comment": b": junk\n",
    "open_id": b"id: 9\n",
    "open_id_and_data": b"id: 9\ndata: junk\n",
    "open_id_and_data_without_line_end": b"id: 9\ndata: junk",
    "event_cut_in_its_data": b"id: 3\ndata: t",
    "event_cut_in_its_id": b"id: 3",
    "event_cut_before_its_end": b"id: 3\ndata: t3\n",
    "earlier_event": b"id: 1\ndata: junk\n\n",
}
# Events with the first ids are garbage only behind others.
FITTING_AT_THE_BEGINNING = ("earlier_event", "id_zero")
PLACES = {"before": 0, "inside": 2, "behind": EVENT_COUNT}
FRAMINGS = ("chunked", "closed")
ENDINGS = ("reset", "goes_on", "complete")


class Case(msgspec.Struct, frozen=True):
    """Which garbage comes behind `PLACES[place]` events, and how the answer ends.

    `cut` splits the garbage into two pieces behind so many bytes, 0 for one piece.
    """

    garbage: str
    place: str
    framing: str
    ending: str
    cut: int = 0

    def attempt_id(self, prefix):
        """Return an attempt id from which `from_attempt_id` reads the case again."""
        fields = (prefix, *msgspec.structs.astuple(self))
        return SEPARATOR.join(str(field) for field in fields)

    @classmethod
    def from_attempt_id(cls, id):
        """Return the case that is named in an attempt id."""
        _, *fields, cut = id.split(SEPARATOR)
        return cls(*fields, cut=int(cut))


def cases_of(garbage):
    """Return all cases in which the bytes named `garbage` are no part of a run."""
    return [
        Case(garbage, place, framing, ending)
        for place in PLACES
        for framing in FRAMINGS
        for ending in ENDINGS
        if place != "before" or garbage not in FITTING_AT_THE_BEGINNING
    ]


def make_responder(garbled_ids):
    """Return the function `respond` of a RawWorker.

    The first run of an attempt is garbled, and its id added to `garbled_ids`; a run
    that goes on with it is sound, unless the attempt's id begins with GARBLED_TWICE.
    """

    def respond(conn, id, worker):
        request = worker.requests_by_id[id]
        if id in garbled_ids and not id.startswith(GARBLED_TWICE):
            return send_rest(conn, id, worker, request.last_event_id)
        garbled_ids.add(id)
        return send_garbled(conn, id, worker, request.last_event_id)

    return respond


def send_rest(conn, id, worker, last_event_id):
    """Send the events of a run behind `last_event_id`."""
    conn.sendall(worker.head(id) + EVENT_TYPE + b"Transfer-Encoding: chunked\r\n\r\n")
    for number in range(last_event_id + 1, EVENT_COUNT + 1):
        conn.sendall(chunk(event(number)))
    conn.sendall(chunk(b""))
    return True


def send_garbled(conn, id, worker, last_event_id):
    """Play the case that the attempt id names, behind the event `last_event_id`."""
    case = Case.from_attempt_id(id)
    is_chunked = case.framing == "chunked"
    framing = b"Transfer-Encoding: chunked" if is_chunked else b"Connection: close"
    conn.sendall(worker.head(id) + EVENT_TYPE + framing + b"\r\n\r\n")
    encode = chunk if is_chunked else bytes
    count = PLACES[case.place]
    for piece in EVENTS[last_event_id:count]:
        conn.sendall(encode(piece))
    garbage = GARBAGE_BY_NAME[case.garbage]
    for piece in (garbage[: case.cut], garbage[case.cut :]):
        if piece:
            conn.sendall(encode(piece))
    if case.ending == "reset":
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        return False
    if case.ending == "goes_on":
        for piece in EVENTS[max(count, last_event_id) :]:
            conn.sendall(encode(piece))
    if is_chunked:
        conn.sendall(chunk(b""))
    return False


def chunk(data):
    """Return `data` as a chunk; the last one is empty."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class Answer:
    """What a client got: the status, the body and whether its end was stated."""

    __slots__ = ("status", "body", "is_complete")

    def __init__(self, status, body, is_complete):
        self.status = status
        self.body = body
        self.is_complete = is_complete


def read_answer(front, path, id, **headers):
    """Send a request to the address `front` and return the Answer, also a broken one.

    In names of `headers`, `_` stands for `-`.
    """
    host, port = front.split(":")
    fields = call_headers(id, KEY)
    fields.update({name.replace("_", "-"): value for name, value in headers.items()})
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    with socket.create_connection((host, int(port)), READ_TIMEOUT_S) as conn:
        conn.sendall(f"POST {path} HTTP/1.1\r\n{lines}\r\n".encode())
        return _parse(_read_all(conn))


def _read_all(conn):
    """Return the bytes up to the end of an answer, or what came of a broken one."""
    data = b""
    try:
        while not _is_ended(data) and (piece := conn.recv(65_536)):
            data += piece
    except ConnectionResetError:
        pass
    return data


def _is_ended(data):
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        return False
    if b"content-length: 0" in head.lower():
        return True
    return body == b"0\r\n\r\n" or body.endswith(b"\r\n0\r\n\r\n")


def _parse(data):
    head, _, rest = data.partition(b"\r\n\r\n")
    status = int(head.split(b" ")[1]) if head else None
    return Answer(status, _decode_chunks(rest), _is_ended(data))


def _decode_chunks(data):
    body = b""
    while data:
        size, separator, data = data.partition(b"\r\n")
        if not separator:
            break
        body += data[: int(size, 16)]
        data = data[int(size, 16) + 2 :]
    return body


def fault_of(answer):
    """Return what is wrong with the answer to a garbled stream, None if nothing.

    The client may get events of the run alone, whole and in order, and a stated end
    only behind the last one.
    """
    if answer.status == 200:
        if answer.body not in PREFIXES:
            return f"bytes that no run made: {answer.body!r}"
        if answer.is_complete and answer.body != PREFIXES[-1]:
            return f"ended as complete with {answer.body!r}"
    elif answer.status not in (None, 502, 504):
        return f"status {answer.status}, though it ran"
    return None


@contextmanager
def garbled_platform(folder, routers=1):
    """Run `routers` routers before workers that garble the first run of each attempt.

    Streams of the route "resumable" may be resumed, those of "single" may not.
    """
    fleet = PlatformFleet(folder, routers=routers)
    routes = [
        route(name, path, "streaming", name, maxAttempts=2)
        for name, path in PATH_BY_ROUTE.items()
    ]
    routes[0]["canResume"] = True
    services = [{"name": name} for name in PATH_BY_ROUTE]
    workers = []
    try:
        fleet.configure(make_config(routes=routes, services=services))
        respond = make_responder(set())
        for name in PATH_BY_ROUTE:
            for number in range(WORKERS_OF_ROUTE):
                workers.append(RawWorker(fleet, f"{name}-{number}", name, respond))
        for router, worker in product(fleet.routers, workers):
            wait_until(lambda: has_log_line(router, "upstream known", worker.id))  # noqa: B023
        yield fleet
    finally:
        for worker in workers:
            worker.close()
        fleet.close()


def ask(fleet, route_name, case, prefix="once", router=0, **headers):
    """Return the Answer to a garbled stream, which a worker began.

    `prefix` begins the attempt's id, and `router` is the index of the router asked; in
    names of `headers`, `_` stands for `-`.
    """
    deadline = time.monotonic() + READY_TIMEOUT_S
    while True:
        id = case.attempt_id(f"{prefix}{next(RUNS)}")
        front = fleet.routers[router].front
        path = f"{PATH_BY_ROUTE[route_name]}{id}"
        answer = read_answer(front, path, id, **headers)
        if answer.status != 503:
            return answer
        assert time.monotonic() < deadline
        time.sleep(0.05)


def find_faults(fleet, cases):
    """Return what is wrong with the answers to `cases`, by route and case."""
    tasks = [(route_name, case) for route_name in PATH_BY_ROUTE for case in cases]
    with ThreadPoolExecutor(MAX_CONCURRENT_CASES) as executor:
        answers = executor.map(lambda task: ask(fleet, *task), tasks)
    return {
        task: fault
        for task, answer in zip(tasks, answers)
        if (fault := fault_of(answer))
    }
