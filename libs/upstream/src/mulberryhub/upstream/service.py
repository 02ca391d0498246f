"""Client of plain HTTP services: sends a request and reads the whole response."""

from mulberryhub.base.green import Timeout, urllib3
from mulberryhub.upstream.errors import (
    ConnectFailed,
    EngineTimeout,
    ResponseMismatch,
    StreamInterrupted,
)
from mulberryhub.upstream.service_connection import (
    MAX_READ_BYTES,
    REQUEST_ID_HEADER,
    ServiceConnectionPool,
)

CONNECT_TIMEOUT_MS = 1_000
MAX_POOLED_CONNECTION_COUNT = 16  # per address
TRANSFER_FACTOR = 2  # bytes with the head and the framing, of those of the body
MAX_RESPONSE_BYTES = 8 * 1024 * 1024  # of the body

urllib3_errors = urllib3.exceptions


class ServiceRequest:
    """A request to a service.

    `target` is the path with the query string. `timeout` limits the whole exchange
    in ms. `request_id` is None if the service has no use for it.
    """

    __slots__ = ("method", "target", "headers", "body", "request_id", "timeout")

    def __init__(self, method, target, headers, body, request_id, timeout):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.request_id = request_id
        self.timeout = timeout


class ServiceResponse:
    """A complete response: status, case-insensitive headers, and body bytes."""

    __slots__ = ("status", "headers", "body")

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class ServiceClient:
    """Sends requests to services, without retries.

    The bodies of responses have at most `max_response_bytes`.
    """

    __slots__ = ("_pools_by_address", "_max_response_bytes")

    def __init__(self, max_response_bytes=MAX_RESPONSE_BYTES):
        self._pools_by_address = {}
        self._max_response_bytes = max_response_bytes

    def send(self, upstream, request):
        """Send `request` over a pooled connection and return the ServiceResponse.

        Raises EngineFailure. Only ConnectFailed guarantees that nothing was sent.
        """
        pool = self._pools_by_address.get(upstream.address)
        if pool is None:
            pool = self._pools_by_address[upstream.address] = self._new_pool(upstream)
        try:
            return _send(pool, request, self._max_response_bytes)
        except (EngineTimeout, StreamInterrupted, ResponseMismatch):
            self._discard_pool(upstream)
            raise

    def send_on_new_connection(self, upstream, request):
        """Send `request` as `send` does, but over a new connection.

        The service may close a pooled connection at any time, and it would then be
        unknown whether the request ran.
        """
        pool = self._new_pool(upstream)
        try:
            return _send(pool, request, self._max_response_bytes)
        finally:
            pool.close()

    def _new_pool(self, upstream):
        host, port = upstream.address.rsplit(":", 1)
        return ServiceConnectionPool(
            host,
            int(port),
            maxsize=MAX_POOLED_CONNECTION_COUNT,
            max_response_bytes=TRANSFER_FACTOR * self._max_response_bytes,
        )

    def _discard_pool(self, upstream):
        pool = self._pools_by_address.pop(upstream.address, None)
        if pool is not None:
            pool.close()


def _send(pool, request, max_response_bytes):
    try:
        with Timeout(request.timeout / 1000, EngineTimeout("no answer in time")):
            response = _start_request(pool, request)
            body = _read_body(response, max_response_bytes)
    except (
        urllib3_errors.NewConnectionError,
        urllib3_errors.ConnectTimeoutError,
    ) as error:
        raise ConnectFailed(str(error)) from error
    except urllib3_errors.TimeoutError as error:
        raise EngineTimeout("no answer in time") from error
    except (urllib3_errors.HTTPError, OSError) as error:
        raise StreamInterrupted(str(error)) from error
    _check_request_id(request, response)
    return ServiceResponse(response.status, response.headers, body)


def _check_request_id(request, response):
    """Raise ResponseMismatch unless `response` belongs to `request`.

    A service need not state the id of the request, but does so before its connection
    is kept. A request without an id is not sent on a kept one.
    """
    if request.request_id is None:
        return
    request_id = response.headers.get(REQUEST_ID_HEADER)
    if request_id is None and not response.is_kept:
        return
    if request_id != request.request_id:
        raise ResponseMismatch("answer to another request")


def _read_body(response, max_bytes):
    is_complete = False
    try:
        body = _read_parts(response, max_bytes)
        is_complete = True
        return body
    finally:
        if not is_complete:
            response.close()
        response.release_conn()


def _read_parts(response, max_bytes):
    parts = []
    byte_count = 0
    while part := response.read(MAX_READ_BYTES):
        byte_count += len(part)
        if byte_count > max_bytes:
            raise StreamInterrupted("the answer is too long")
        parts.append(part)
    return b"".join(parts)


def _start_request(pool, request):
    timeouts = urllib3.Timeout(
        connect=min(CONNECT_TIMEOUT_MS, request.timeout) / 1000,
        read=request.timeout / 1000,
    )
    return pool.urlopen(
        request.method,
        request.target,
        body=request.body,
        headers=request.headers,
        timeout=timeouts,
        retries=False,
        redirect=False,
        preload_content=False,
        decode_content=False,
    )
