"""Limits on the requests of clients."""


class RequestLimits:
    """Limits on requests: sizes in bytes, timeouts in ms.

    `max_header_bytes` and `max_body_bytes` limit the header fields and the body.
    `header_timeout_ms` is the longest wait for more bytes of a header that has begun.
    `idle_timeout_ms` is the longest wait for a request to begin, or for more of its
    body.
    """

    __slots__ = (
        "max_header_bytes",
        "max_body_bytes",
        "header_timeout_ms",
        "idle_timeout_ms",
    )

    def __init__(
        self, max_header_bytes, max_body_bytes, header_timeout_ms, idle_timeout_ms
    ):
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.header_timeout_ms = header_timeout_ms
        self.idle_timeout_ms = idle_timeout_ms
