"""Test server, raw socket client and scripted upstream for the HTTP tests."""

from contextlib import contextmanager

from benchmarks.ports import free_address
from mulberryhub.base.clock import Clock
from mulberryhub.base.green import Timeout, listen, socket, spawn
from mulberryhub.http.limits import RequestLimits
from mulberryhub.http.messages import Headers
from mulberryhub.http.server import HttpServer

READ_TIMEOUT_S = 5
LIMITS = RequestLimits(
    max_header_bytes=2_000,
    max_body_bytes=10_000,
    header_timeout_ms=300,
    idle_timeout_ms=500,
)


def echo(request, connection):
    body = request.method + b" " + request.target + b" " + request.body
    connection.start_response(200, Headers(), len(body))
    connection.write(body)
    return connection.finish_response()


@contextmanager
def running_server(handle=echo, limits=LIMITS, read_limits=None):
    """Run a server with `limits`, or with what `read_limits()` returns each time."""
    read_limits = read_limits or (lambda: limits)
    server = HttpServer(free_address(), handle, read_limits, Clock())
    server.start()
    try:
        yield server
    finally:
        server.stop_listening()


def connect(address):
    host, port = address.rsplit(":", 1)
    sock = socket.create_connection((host, int(port)))
    sock.settimeout(READ_TIMEOUT_S)
    return sock


def read_all(sock):
    data = b""
    with Timeout(READ_TIMEOUT_S):
        try:
            while piece := sock.recv(65_536):
                data += piece
        except ConnectionResetError:
            return data
    return data


def send_and_read_all(address, data):
    sock = connect(address)
    sock.sendall(data)
    return read_all(sock)


class ScriptedUpstream:
    """Accepts connections; runs the next of `scripts` on each: `script(sock, self)`."""

    def __init__(self, *scripts):
        self.listener = listen(("127.0.0.1", 0))
        host, port = self.listener.getsockname()
        self.address = f"{host}:{port}"
        self.request_heads = []
        self._scripts = list(scripts)
        spawn(self._run)

    def _run(self):
        for script in self._scripts:
            sock, _ = self.listener.accept()
            spawn(script, sock, self)

    def read_head(self, sock):
        data = b""
        while b"\r\n\r\n" not in data:
            piece = sock.recv(65_536)
            if not piece:
                return data
            data += piece
        self.request_heads.append(data)
        return data
