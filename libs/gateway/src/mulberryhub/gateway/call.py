"""One HTTP call: what came in, and the reply that goes out."""

from urllib.parse import parse_qsl
from uuid import uuid4

from mulberryhub.base.errors import Code, HubError
from mulberryhub.base.green import Timeout, wsgi
from mulberryhub.gateway.auth import presented_keys

MAX_BODY = 8 * 1024 * 1024  # bytes
BODY_TIMEOUT = 10_000  # ms
MAX_REQUEST_ID = 128  # characters


class Call:
    """A request as the handlers see it; header names are looked up in any case."""

    __slots__ = ("method", "path", "query", "request_id", "environ")

    def __init__(self, environ):
        self.environ = environ
        self.method = environ["REQUEST_METHOD"]
        self.path = environ["PATH_INFO"]
        self.query = parse_qsl(environ.get("QUERY_STRING", ""), keep_blank_values=True)
        self.request_id = self._request_id()

    def _request_id(self):
        """Return the caller's id, or a new one where it cannot go upstream."""
        given = self.header("X-Request-Id")
        if not given or len(given) > MAX_REQUEST_ID:
            return uuid4().hex
        is_plain = given.isascii() and given.isprintable()
        holds_key = any(key in given for key in presented_keys(self))
        return given if is_plain and not holds_key else uuid4().hex

    def header(self, name, default=""):
        """Return the header `name`, such as `Last-Event-ID`."""
        key = name.upper().replace("-", "_")
        return self.environ.get(f"HTTP_{key}", default)

    def headers_named(self, name):
        """Return each value of the header `name`, in the order sent."""
        wanted = name.lower()
        raw = self.environ.get("headers_raw", ())
        return [value for key, value in raw if key.lower() == wanted]

    @property
    def content_type(self):
        """Return the content type as sent."""
        return self.environ.get("CONTENT_TYPE", "")

    def read_body(self, limit=MAX_BODY):
        """Return the whole body; refuse it above `limit` bytes or when it is slow."""
        declared = self.environ.get("CONTENT_LENGTH")
        if declared and int(declared) > limit:
            raise HubError(Code.BODY_TOO_LARGE, f"the body exceeds {limit} bytes")
        body = self._read_in_time(limit + 1)
        if len(body) > limit:
            raise HubError(Code.BODY_TOO_LARGE, f"the body exceeds {limit} bytes")
        if declared and len(body) < int(declared):
            raise HubError(Code.BAD_REQUEST, "the body ended early")
        return body

    def _read_in_time(self, size):
        timeout = Timeout(BODY_TIMEOUT / 1000)
        try:
            return self.environ["wsgi.input"].read(size)
        except Timeout as expired:
            if expired is not timeout:
                raise
            raise HubError(Code.SLOW_SENDER, "the body did not arrive in time")
        except (OSError, wsgi.ChunkReadError) as error:
            raise HubError(Code.BAD_REQUEST, "the body could not be read") from error
        finally:
            timeout.cancel()


class Reply:
    """A status, header pairs and a body of bytes or an iterator of bytes."""

    __slots__ = ("status", "headers", "body")

    def __init__(self, status, body, content_type="application/json", headers=()):
        self.status = status
        self.body = body
        self.headers = [("Content-Type", content_type), *headers]
