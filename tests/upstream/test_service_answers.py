"""Answers of services whose heads are not as HTTP requires."""

import socket
import threading
from contextlib import contextmanager, suppress

import pytest

from mulberryhub.base.green import Timeout
from mulberryhub.config.inventory import Upstream
from mulberryhub.upstream.errors import EngineFailure
from mulberryhub.upstream.service import ServiceClient, ServiceRequest

TIMEOUT_MS = 3_000
SEND_NAMES = ["send", "send_on_new_connection"]
# The second one states the end of the body, and a parser that stops before it reads on.
HEADS = {
    "status 000": b"HTTP/1.1 000 OK\r\n%s",
    "status 099": b"HTTP/1.1 099 OK\r\n%s",
    "status 600": b"HTTP/1.1 600 OK\r\n%s",
    "status 999": b"HTTP/1.1 999 OK\r\n%s",
    "status of 4 digits": b"HTTP/1.1 2000 OK\r\n%s",
    "name with a blank": b"HTTP/1.1 200 OK\r\nX Odd: 1\r\n%s",
    "name with a tab": b"HTTP/1.1 200 OK\r\nX\tOdd: 1\r\n%s",
    "name with a control byte": b"HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\n%s",
    "name with a delete byte": b"HTTP/1.1 200 OK\r\nX\x7fOdd: 1\r\n%s",
    "name that ends in a blank": b"HTTP/1.1 200 OK\r\nX-Odd : 1\r\n%s",
    "name in brackets": b"HTTP/1.1 200 OK\r\n(odd): 1\r\n%s",
    "no name": b"HTTP/1.1 200 OK\r\n: 1\r\n%s",
    "no colon": b"HTTP/1.1 200 OK\r\nodd\r\n%s",
    "folded first line": b"HTTP/1.1 200 OK\r\n odd: 1\r\n%s",
    "folded value": b"HTTP/1.1 200 OK\r\nX-Odd: 1\r\n 2\r\n%s",
    "envelope": b"HTTP/1.1 200 OK\r\nFrom odd\r\n%s",
    "value with a control byte": b"HTTP/1.1 200 OK\r\nX-Odd: 1\x012\r\n%s",
    "odd name last": b"HTTP/1.1 200 OK\r\n%sX Odd: 1\r\n",
    "odd interim answer": b"HTTP/1.1 103 Hi\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\n%s",
}
FIELDS = b"X-Request-Id: r1\r\nContent-Length: 2\r\n"


@contextmanager
def service_that(serve):
    """Run a service in a thread: `serve(sock)` serves each connection."""
    listener = socket.create_server(("127.0.0.1", 0))

    def run():
        with suppress(OSError):  # at the end of the test
            while True:
                sock, _ = listener.accept()
                with sock, suppress(OSError):
                    serve(sock)

    threading.Thread(target=run, daemon=True).start()
    host, port = listener.getsockname()
    try:
        yield Upstream("s1", "service", "dc", f"{host}:{port}")
    finally:
        listener.close()


def send(service, name, body=None):
    """Return the body of the answer, or the EngineFailure."""
    method = "GET" if body is None else "POST"
    request = ServiceRequest(method, "/stock", {}, body, "r1", TIMEOUT_MS)
    with Timeout(10):
        try:
            return getattr(ServiceClient(), name)(service, request).body
        except EngineFailure as failure:
            return failure


@pytest.mark.parametrize("name", SEND_NAMES)
@pytest.mark.parametrize("head", HEADS)
def test_answer_with_an_odd_head_is_no_answer(name, head):
    # Guards against heads of which a parser drops what it can't read, a length too.
    def serve(sock):
        sock.recv(65_536)
        sock.sendall(HEADS[head] % FIELDS + b"\r\nok")

    with service_that(serve) as service:
        assert isinstance(send(service, name), EngineFailure)


@pytest.mark.parametrize("name", SEND_NAMES)
def test_sound_head_is_read(name):
    # Guards against a check of heads that refuses sound ones.
    def serve(sock):
        sock.recv(65_536)
        sock.sendall(b"HTTP/1.1 200 OK\r\nX-Odd!#$: a\tb\r\nX-Empty:\r\n")
        sock.sendall(FIELDS + b"\r\nok")

    with service_that(serve) as service:
        assert send(service, name) == b"ok"
