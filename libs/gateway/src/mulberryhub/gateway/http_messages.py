"""HTTP requests and responses as the request handlers use them."""

from urllib.parse import parse_qsl
from uuid import uuid4

from mulberryhub.base.errors import ApiError, ErrorCode
from mulberryhub.base.green import Timeout, wsgi
from mulberryhub.gateway.auth import presented_keys

MAX_BODY_BYTES = 8 * 1024 * 1024
BODY_TIMEOUT_MS = 10_000
MAX_REQUEST_ID_CHARACTERS = 128


class HttpRequest:
    """A client's request, read from a WSGI environ.

    `query` holds the (name, value) pairs of the query string. Header names are
    matched without regard to case.
    """

    __slots__ = ("method", "path", "query", "request_id", "environ")

    def __init__(self, environ):
        self.environ = environ
        self.method = environ["REQUEST_METHOD"]
        self.path = environ["PATH_INFO"]
        self.query = parse_qsl(environ.get("QUERY_STRING", ""), keep_blank_values=True)
        self.request_id = self._choose_request_id()

    def _choose_request_id(self):
        """Return the client's request id, or a new one if that is unsafe to forward.

        An id is unsafe if it is too long, is not printable ASCII or contains an API
        key of the request.
        """
        client_id = self.header("X-Request-Id")
        if not client_id or len(client_id) > MAX_REQUEST_ID_CHARACTERS:
            return uuid4().hex
        is_printable = client_id.isascii() and client_id.isprintable()
        contains_key = any(key in client_id for key in presented_keys(self))
        return client_id if is_printable and not contains_key else uuid4().hex

    def header(self, name, default=""):
        """Return the value of the header `name`, such as `Last-Event-ID`."""
        key = name.upper().replace("-", "_")
        return self.environ.get(f"HTTP_{key}", default)

    def headers_named(self, name):
        """Return all values of the header `name`, in the order received."""
        lower_name = name.lower()
        raw_headers = self.environ.get("headers_raw", ())
        return [value for key, value in raw_headers if key.lower() == lower_name]

    @property
    def content_type(self):
        """Return the Content-Type header, or an empty string."""
        return self.environ.get("CONTENT_TYPE", "")

    def read_body(self, limit=MAX_BODY_BYTES):
        """Return the whole body.

        Raise ApiError if it exceeds `limit` bytes, arrives too slowly, is shorter
        than its declared length or cannot be read.
        """
        declared = self.environ.get("CONTENT_LENGTH")
        if declared and int(declared) > limit:
            raise ApiError(ErrorCode.BODY_TOO_LARGE, f"the body exceeds {limit} bytes")
        body = self._read_with_timeout(limit + 1)
        if len(body) > limit:
            raise ApiError(ErrorCode.BODY_TOO_LARGE, f"the body exceeds {limit} bytes")
        if declared and len(body) < int(declared):
            raise ApiError(ErrorCode.BAD_REQUEST, "the body ended early")
        return body

    def _read_with_timeout(self, size):
        timeout = Timeout(BODY_TIMEOUT_MS / 1000)
        try:
            return self.environ["wsgi.input"].read(size)
        except Timeout as expired:
            if expired is not timeout:
                raise
            raise ApiError(ErrorCode.SLOW_SENDER, "the body did not arrive in time")
        except (OSError, wsgi.ChunkReadError) as error:
            raise ApiError(
                ErrorCode.BAD_REQUEST, "the body could not be read"
            ) from error
        finally:
            timeout.cancel()


class HttpResponse:
    """A response: status, (name, value) header pairs and body.

    `body` is bytes, or an iterator of bytes for a streamed response.
    """

    __slots__ = ("status", "headers", "body")

    def __init__(self, status, body, content_type="application/json", headers=()):
        self.status = status
        self.body = body
        self.headers = [("Content-Type", content_type), *headers]
