"""HTTP/1.1 messages, and the errors of reading and writing them."""

HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
BODILESS_STATUSES = (204, 304)
SUCCESS_STATUSES = range(200, 300)


class HttpError(Exception):
    """An HTTP message could not be read or written."""


class BadRequest(HttpError):
    """The request is malformed, too large or too slow, as `status` (HTTP) tells.

    `retry_after` is the time in s after which it may be sent again, or None.
    """

    def __init__(self, status, reason, retry_after=None):
        super().__init__(reason)
        self.status = status
        self.retry_after = retry_after


class ConnectionFailed(HttpError):
    """The connection could not be established, so nothing was sent."""


class ConnectionRefused(ConnectionFailed):
    """The connection was refused: no process listens at the address."""


class ResponseBroken(HttpError):
    """The response is malformed, or the connection failed before its end."""


class ResponseMalformed(ResponseBroken):
    """The upstream sent bytes that are no response of the kind that was asked for."""


class ResponseTruncated(ResponseBroken):
    """The upstream closed or reset the connection before the end of the response."""


class ResponseTimeout(HttpError):
    """No byte of the response arrived within the timeout."""


class ClientDisconnected(Exception):
    """The client closed the connection while its request was being handled."""


class ServerEnding(Exception):
    """The server ends while the request is being handled; an answer is due at once."""


class HeaderField:
    """Header field: name as sent, name in lower case, and value, all bytes."""

    __slots__ = ("raw_name", "name", "value")

    def __init__(self, raw_name, value):
        self.raw_name = raw_name
        self.name = raw_name.lower()
        self.value = value


class Headers:
    """Ordered header fields; names are bytes and are looked up in lower case."""

    __slots__ = ("fields",)

    def __init__(self, fields=()):
        self.fields = list(fields)

    @classmethod
    def from_pairs(cls, pairs):
        """Return headers made from (name, value) pairs of bytes."""
        return cls(HeaderField(name, value) for name, value in pairs)

    def pairs(self):
        """Return (raw name, value) pairs in order."""
        return [(field.raw_name, field.value) for field in self.fields]

    def get(self, name, default=None):
        """Return the first value of `name`, or `default`."""
        for field in self.fields:
            if field.name == name:
                return field.value
        return default

    def get_all(self, name):
        """Return all values of `name`."""
        return [field.value for field in self.fields if field.name == name]

    def without(self, names):
        """Return a copy without the fields in `names`."""
        return Headers(field for field in self.fields if field.name not in names)

    def without_hop_by_hop(self, keep=frozenset()):
        """Return a copy without hop-by-hop fields.

        Fields that the Connection header names are dropped too, except those in
        `keep`.
        """
        dropped_names = set(HOP_BY_HOP_HEADERS)
        for value in self.get_all(b"connection"):
            listed_names = {item.strip().lower() for item in value.split(b",")}
            dropped_names |= listed_names - keep
        return self.without(dropped_names)

    def add(self, name, value):
        """Append a field."""
        self.fields.append(HeaderField(name, value))

    def size(self):
        """Return the size of the fields on the wire in bytes."""
        return sum(len(field.name) + len(field.value) + 4 for field in self.fields)


class Request:
    """A request with its whole body; its head was read at `arrived_at` (clock ms)."""

    __slots__ = ("method", "target", "headers", "body", "arrived_at")

    def __init__(self, method, target, headers, body=b"", arrived_at=0):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.arrived_at = arrived_at

    @property
    def path(self):
        """Return the target without the query string."""
        return self.target.partition(b"?")[0]


class ResponseHead:
    """Status and headers of a response; `length` is Content-Length in bytes or None.

    `is_framed` is false if the body is delimited by the connection's close only, so
    that a truncated body cannot be told from a complete one.
    """

    __slots__ = ("status", "headers", "length", "is_framed")

    def __init__(self, status, headers):
        self.status = status
        self.headers = headers
        length = headers.get(b"content-length")
        self.length = None if length is None else int(length)
        has_coding = headers.get(b"transfer-encoding") is not None
        self.is_framed = has_coding or length is not None or status in BODILESS_STATUSES


class HeldResponse:
    """A response that is sent once its whole body is known."""

    __slots__ = ("status", "headers", "body")

    def __init__(self, status, headers):
        self.status = status
        self.headers = headers
        self.body = bytearray()
