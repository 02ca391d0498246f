"""Stand-in workers of several software versions, and clients that take streams up."""

import re
import time
from http.client import HTTPConnection, HTTPException, IncompleteRead
from itertools import count
from threading import Event

import msgspec

from mulberryhub.adapter_standins.documents import KEY, call_headers
from mulberryhub.adapter_standins.fleet import wait_until
from tests.adapter.raw_workers import RawWorker

EVENT_COUNT = 6  # of a stream
EVENT_PATTERN = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")
STREAM_HEAD = (
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
    b"Connection: close\r\n\r\n"
)
TIMEOUT_S = 10
BODY = b"x" * 4_096  # long enough that routers prefer upstreams in their own zone
NUMBERS = count()


class VersionedWorker(RawWorker):
    """A worker that names its software version in each event that it sends.

    A run breaks off after the event `cut_after`, if it is set and the run sent it. A
    worker with `waits` does so once `go_on` is set. No run sends its first event before
    `may_send` is set, as it is at first.
    """

    def __init__(self, platform, service, version, cut_after=None, waits=False, **more):
        self.version = version
        self.cut_after = cut_after
        self.may_send = Event()
        self.may_send.set()
        self.go_on = Event()
        if not waits:
            self.go_on.set()
        if version is not None:
            more["version"] = version
        id = f"v{next(NUMBERS)}"
        super().__init__(platform, id, service, send_stream, **more)


def send_stream(conn, id, worker):
    """Send the events that the client lacks; return false as the connection ends."""
    conn.sendall(worker.head(id) + STREAM_HEAD)
    worker.may_send.wait(TIMEOUT_S)
    first = worker.requests_by_id[id].last_event_id + 1
    text = str(worker.version).replace(" ", "")
    for number in range(first, EVENT_COUNT + 1):
        if worker.cut_after == number - 1 and (number > first or number == 1):
            worker.go_on.wait(TIMEOUT_S)
            return False
        event = f"id: {number}\ndata: {text}\n\n".encode()
        conn.sendall(b"%x\r\n%s\r\n" % (len(event), event))
    conn.sendall(b"0\r\n\r\n")
    return False


class StreamAnswer(msgspec.Struct):
    """What a client received of a stream.

    `events` are pairs of the id of an event and the software version that sent it.
    `retry_after` is in s.
    """

    status: int
    events: list[tuple[int, str]]
    is_complete: bool
    retry_after: float | None
    took_s: float

    @property
    def ids(self):
        """Return the ids of the events."""
        return [id for id, _ in self.events]

    @property
    def versions(self):
        """Return the software versions that sent the events."""
        return {version for _, version in self.events}


def ask_stream(router, path, id, headers=()):
    """Send a streaming request and return the StreamAnswer, complete or not.

    `headers` are pairs, which may repeat a name.
    """
    started = time.monotonic()
    connection = HTTPConnection(router.front, timeout=TIMEOUT_S)
    connection.putrequest("POST", path, skip_host=True, skip_accept_encoding=True)
    for name, value in [*call_headers(id, KEY).items(), *headers]:
        connection.putheader(name, value)
    connection.putheader("Content-Length", str(len(BODY)))
    connection.endheaders(BODY)
    response = connection.getresponse()
    body, is_complete = read_all(response)
    connection.close()
    retry_after = response.getheader("Retry-After")
    return StreamAnswer(
        response.status,
        [(int(id), data.decode()) for id, data in EVENT_PATTERN.findall(body)],
        is_complete,
        None if retry_after is None else float(retry_after),
        time.monotonic() - started,
    )


def read_all(response):
    """Return the bytes received and whether the response was complete."""
    body = b""
    try:
        while data := response.read1(65_536):
            body += data
    except IncompleteRead as error:
        return body + error.partial, False
    except (OSError, HTTPException):
        return body, False
    return body, True


def begin_stream(router, path):
    """Send a stream until one begins; return the attempt's id and the StreamAnswer."""
    deadline = time.monotonic() + TIMEOUT_S
    while True:
        id = f"s-{next(NUMBERS)}"
        answer = ask_stream(router, path, id)
        if answer.status != 503:
            return id, answer
        assert time.monotonic() < deadline
        time.sleep(0.1)


def take_up(router, path, last_event_id, *resumes):
    """Take a stream up; `resumes` are the values of that header, mostly one."""
    headers = [("Last-Event-Id", str(last_event_id))]
    headers += [("Resumes", value) for value in resumes]
    return ask_stream(router, path, f"s-{next(NUMBERS)}", headers)


def wait_until_known(platform, *workers):
    """Wait until all routers know the entries of `workers` as written last."""
    for router in platform.routers:
        for worker in workers:
            wait_until(lambda: last_line(router, worker) == "upstream known")  # noqa: B023


def wait_until_gone(platform, *workers):
    """Wait until all routers know that the entries of `workers` are removed."""
    for router in platform.routers:
        for worker in workers:
            wait_until(lambda: last_line(router, worker) == "upstream gone")  # noqa: B023


def known_count(router, worker):
    """Return how often the router learned something new of a worker's entry."""
    return messages_on(router, worker).count("upstream known")


def last_line(router, worker):
    """Return the message of the router's last line on a worker's entry, or None."""
    messages = messages_on(router, worker)
    return messages[-1] if messages else None


def messages_on(router, worker):
    """Return the messages of the router's lines on a worker's entry."""
    return [
        line["message"]
        for line in router.lines()
        if line["message"] in ("upstream known", "upstream gone")
        and line.get("upstream") == worker.id
    ]
