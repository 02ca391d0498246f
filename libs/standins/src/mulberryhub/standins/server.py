"""HTTP server shared by the stand-ins, with fault injection.

`POST /faults` with a JSON object sets faults by name; a value of null clears a fault.
"""

import sys
from urllib.parse import parse_qs

import msgspec

from mulberryhub.base.green import listen, sleep, socket, wsgi


class Request:
    """A parsed WSGI request.

    `query` has the last value of each parameter by name, `body` is in bytes.
    """

    __slots__ = ("method", "path", "query", "environ", "body")

    def __init__(self, environ):
        self.method = environ["REQUEST_METHOD"]
        self.path = environ["PATH_INFO"]
        pairs = parse_qs(environ.get("QUERY_STRING", ""))
        self.query = {name: values[-1] for name, values in pairs.items()}
        self.environ = environ
        self.body = environ["wsgi.input"].read()

    def header(self, name, default=""):
        """Return the value of the header `name`, or `default` if it is absent."""
        key = name.upper().replace("-", "_")
        return self.environ.get(f"HTTP_{key}", self.environ.get(key, default))


class Answer:
    """An HTTP answer.

    `body` is an iterator of bytes to stream, bytes, or a value to encode as JSON.
    """

    __slots__ = ("status", "body", "headers")

    def __init__(self, body, status=200, headers=()):
        self.status = status
        self.body = body
        self.headers = list(headers)


class Faults:
    """The values of the active faults by name."""

    __slots__ = ("by_name",)

    def __init__(self):
        self.by_name = {}

    def get(self, name, default=None):
        """Return the value of the fault `name`, or `default` if it is not active."""
        return self.by_name.get(name, default)

    def update(self, values):
        """Set faults by name, and clear those whose value is None."""
        for name, value in values.items():
            if value is None:
                self.by_name.pop(name, None)
            else:
                self.by_name[name] = value

    def consume(self, name):
        """Decrement the counted fault `name` and return whether it was above 0."""
        remaining = self.by_name.get(name, 0)
        if remaining:
            self.by_name[name] = remaining - 1
        return bool(remaining)


def make_app(handle, faults):
    """Return a WSGI application that serves `/faults` and passes the rest on.

    `handle(request)` returns the Answer to every other request.
    """

    def app(environ, start_response):
        environ["eventlet.minimum_write_chunk_size"] = 1
        request = Request(environ)
        if request.path == "/faults":
            if request.method == "POST":
                faults.update(msgspec.json.decode(request.body))
            answer = Answer(faults.by_name)
        else:
            answer = handle(request)
        headers = list(answer.headers)
        body = answer.body
        if not hasattr(body, "__next__"):
            data = body if isinstance(body, bytes) else msgspec.json.encode(body)
            headers.append(("Content-Type", "application/json"))
            headers.append(("Content-Length", str(len(data))))
            body = [data]
        start_response(f"{answer.status} -", headers)
        return body

    return app


def serve(address, app):
    """Serve `app` at `address` (host:port) until the process ends.

    Prints the line `listening on HOST:PORT` to standard output first, so that a
    caller that passes port 0 learns the port.
    """
    host, port = address.rsplit(":", 1)
    listener = listen((host, int(port)), backlog=1024)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    bound_address = listener.getsockname()
    print(f"listening on {bound_address[0]}:{bound_address[1]}", flush=True)
    wsgi.server(listener, app, log_output=False, max_size=20_000, debug=False)


def run_standin(app):
    """Serve `app` at the address in the first command-line argument.

    The default is a free port on 127.0.0.1.
    """
    serve(sys.argv[1] if len(sys.argv) > 1 else "127.0.0.1:0", app)


def sleep_ms(duration_ms):
    """Suspend the current green thread for `duration_ms`."""
    sleep(duration_ms / 1000)
