"""A small JSON-over-HTTP server that the stand-ins share, with faults on demand.

`POST /faults` with a JSON object sets faults by name; a value of null clears one.
"""

import sys
from urllib.parse import parse_qs

import msgspec

from mulberryhub.base.green import listen, sleep, socket, wsgi


class Request:
    """One parsed request: method, path, query by name, headers and body."""

    __slots__ = ("method", "path", "query", "environ", "body")

    def __init__(self, environ):
        self.method = environ["REQUEST_METHOD"]
        self.path = environ["PATH_INFO"]
        pairs = parse_qs(environ.get("QUERY_STRING", ""))
        self.query = {name: values[-1] for name, values in pairs.items()}
        self.environ = environ
        self.body = environ["wsgi.input"].read()

    def header(self, name, default=""):
        """Return the header `name`, such as `X-Request-Id`."""
        key = name.upper().replace("-", "_")
        return self.environ.get(f"HTTP_{key}", self.environ.get(key, default))


class Answer:
    """One answer; `body` is an iterable of bytes or a value sent as JSON."""

    __slots__ = ("status", "body", "headers")

    def __init__(self, body, status=200, headers=()):
        self.status = status
        self.body = body
        self.headers = list(headers)


class Faults:
    """Faults in force by name; a stand-in looks them up while it serves."""

    __slots__ = ("by_name",)

    def __init__(self):
        self.by_name = {}

    def get(self, name, default=None):
        """Return the value of the fault `name`, or `default` where it is off."""
        return self.by_name.get(name, default)

    def update(self, values):
        """Switch faults on, or off where the value is null."""
        for name, value in values.items():
            if value is None:
                self.by_name.pop(name, None)
            else:
                self.by_name[name] = value

    def take(self, name):
        """Use up one of the times that the fault `name` is to strike."""
        left = self.by_name.get(name, 0)
        if left:
            self.by_name[name] = left - 1
        return bool(left)


def make_app(handle, faults):
    """Return a WSGI application that serves faults itself and `handle` the rest."""

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

    The line `listening on HOST:PORT` goes to standard output first, so that
    port 0 can be used.
    """
    host, port = address.rsplit(":", 1)
    listener = listen((host, int(port)), backlog=1024)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    bound = listener.getsockname()
    print(f"listening on {bound[0]}:{bound[1]}", flush=True)
    wsgi.server(listener, app, log_output=False, max_size=20_000, debug=False)


def run_standin(app):
    """Run a stand-in as a program; the address is the first argument."""
    serve(sys.argv[1] if len(sys.argv) > 1 else "127.0.0.1:0", app)


def pause(duration):
    """Let other requests run for `duration` ms."""
    sleep(duration / 1000)
