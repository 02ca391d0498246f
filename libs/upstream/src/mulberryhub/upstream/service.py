"""Client of plain services: sends one request and reads the whole answer."""

from mulberryhub.base.green import Timeout, urllib3
from mulberryhub.upstream.errors import (
    AnswerCrossed,
    ConnectFailed,
    EngineSilent,
    StreamCut,
)

CONNECT_TIMEOUT = 1_000  # ms
POOL_SIZE = 16
MAX_ANSWER = 8 * 1024 * 1024  # bytes

errors = urllib3.exceptions


class ServiceCall:
    """One request to a service; `target` is the path with its query."""

    __slots__ = ("method", "target", "headers", "body", "request_id", "timeout")

    def __init__(self, method, target, headers, body, request_id, timeout):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.request_id = request_id
        self.timeout = timeout


class ServiceAnswer:
    """A whole answer: status, headers by name in any case, and body."""

    __slots__ = ("status", "headers", "body")

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class ServiceClient:
    """Sends requests to services; never sends one twice on its own."""

    __slots__ = ("_pools_by_address",)

    def __init__(self):
        self._pools_by_address = {}

    def send(self, upstream, call):
        """Send `call` over a kept connection and return its ServiceAnswer.

        Raise EngineFailure, of which only ConnectFailed means that nothing was sent.
        """
        pool = self._pools_by_address.get(upstream.address)
        if pool is None:
            pool = self._pools_by_address[upstream.address] = _pool(upstream)
        try:
            return _send(pool, call)
        except (EngineSilent, StreamCut, AnswerCrossed):
            self._distrust(upstream)
            raise

    def send_fresh(self, upstream, call):
        """Send `call` like `send`, but over a new connection.

        A kept connection may have been closed by the service, which would leave
        open whether the request ran.
        """
        pool = _pool(upstream)
        try:
            return _send(pool, call)
        finally:
            pool.close()

    def _distrust(self, upstream):
        pool = self._pools_by_address.pop(upstream.address, None)
        if pool is not None:
            pool.close()


def _pool(upstream):
    host, port = upstream.address.rsplit(":", 1)
    return urllib3.HTTPConnectionPool(host, int(port), maxsize=POOL_SIZE)


def _send(pool, call):
    try:
        with Timeout(call.timeout / 1000, EngineSilent("no answer in time")):
            response = _request(pool, call)
            body = _read(response)
    except (errors.NewConnectionError, errors.ConnectTimeoutError) as error:
        raise ConnectFailed(str(error)) from error
    except errors.TimeoutError as error:
        raise EngineSilent("no answer in time") from error
    except (errors.HTTPError, OSError) as error:
        raise StreamCut(str(error)) from error
    if response.headers.get("X-Request-Id", call.request_id) != call.request_id:
        raise AnswerCrossed("answer to another request")
    return ServiceAnswer(response.status, response.headers, body)


def _read(response):
    complete = False
    try:
        body = response.read(MAX_ANSWER + 1)
        if len(body) > MAX_ANSWER:
            raise StreamCut("the answer is too long")
        complete = True
        return body
    finally:
        if not complete:
            response.close()
        response.release_conn()


def _request(pool, call):
    limits = urllib3.Timeout(
        connect=min(CONNECT_TIMEOUT, call.timeout) / 1000, read=call.timeout / 1000
    )
    return pool.urlopen(
        call.method,
        call.target,
        body=call.body,
        headers=call.headers,
        timeout=limits,
        retries=False,
        redirect=False,
        preload_content=False,
        decode_content=False,
    )
