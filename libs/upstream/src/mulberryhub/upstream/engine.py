"""Client of model engines: opens, resumes and cancels token streams."""

from contextlib import contextmanager
from urllib.parse import quote

import msgspec

from mulberryhub.base.green import Timeout, urllib3
from mulberryhub.base.logs import module_logger
from mulberryhub.upstream.bounded_http import BoundedResponse, HTTPConnection
from mulberryhub.upstream.chunked import MalformedBody
from mulberryhub.upstream.engine_calls import send_call
from mulberryhub.upstream.engine_stream import EngineStream, incarnation_in
from mulberryhub.upstream.errors import (
    ConnectFailed,
    EngineErrorResponse,
    EngineFailure,
    EngineTimeout,
    ResponseMismatch,
    StreamInterrupted,
    StreamNotFound,
    WrongVersion,
)

EVENT_STREAM_TYPE = "text/event-stream"
CANCEL_TIMEOUT_MS = 2_000
MAX_ERROR_BYTES = 200  # of an engine's error response that go into the message

log = module_logger(__name__)

urllib3_errors = urllib3.exceptions
HTTPException = urllib3.connection.HTTPException


class StreamResponse(BoundedResponse):
    """Response whose connection stays open until the stream's reader closes it.

    Otherwise `http.client` drops the connection's socket together with the head of an
    answer that ends with the connection. Only the head counts for `max_bytes`.
    """

    def begin(self):
        """Read the head of the response."""
        super().begin()
        self.will_close = False


class StreamConnection(HTTPConnection):
    """Connection that serves one stream."""

    response_class = StreamResponse


class EngineClient:
    """Opens streams on engines, each on a new connection.

    A pooled connection could be dead without notice, or could still carry the
    response to another request.
    """

    __slots__ = ("_counters",)

    def __init__(self, counters):
        self._counters = counters

    def open(self, upstream, request):
        """Send `request` to the engine `upstream` and return its EngineStream.

        The stream starts after the first `request.delivered_tokens` tokens. Raises
        EngineFailure.
        """
        body = {**request.body, "stream": True}
        body.pop("continue_from", None)
        if request.delivered_tokens:
            body["continue_from"] = {
                "text": request.delivered_text,
                "tokens": request.delivered_tokens,
            }
        path = "/v1/chat/completions" if request.is_chat else "/v1/completions"
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": request.request_id,
            "X-Cache-Scope": request.cache_scope,
            "X-Model-Version": request.model_version,
            "X-Priority": str(request.priority),
        }
        data = msgspec.json.encode(body)
        return self._open_stream(upstream, request, "POST", path, data, headers)

    def resume(self, upstream, request):
        """Resume a stream that the engine still has, after the delivered tokens.

        Raises EngineFailure, in particular StreamNotFound if the engine does not have
        the stream.
        """
        chat = int(request.is_chat)
        stream_id = quote(request.request_id, safe="")
        path = f"/v1/streams/{stream_id}?from={request.delivered_tokens}&chat={chat}"
        return self._open_stream(upstream, request, "GET", path, None, {})

    def _open_stream(self, upstream, request, method, path, data, headers):
        connection = _connect(upstream, request.connect_timeout)
        try:
            with _raise_as_failures():
                connection.timeout = request.idle_timeout / 1000
                connection.request(
                    method, path, body=data, headers=headers, preload_content=False
                )
                with Timeout(connection.timeout, _no_answer_in_time()):
                    response = connection.getresponse()
                    _check_response(method, request, response)
                return EngineStream(self, upstream, request, connection, response)
        except BaseException:
            connection.close()
            raise

    def cancel(self, upstream, request_id):
        """Cancel the request on the engine; a failure is counted but not raised."""
        try:
            send_call(
                upstream, "POST", "/v1/cancel", CANCEL_TIMEOUT_MS, {"id": request_id}
            )
        except EngineFailure as failure:
            log.debug("{} cannot be cancelled: {}", request_id, failure)
            self._counters.add("upstream.cancel_failed")


@contextmanager
def _raise_as_failures():
    """Raise errors of the connection and of malformed answers as EngineFailure."""
    try:
        yield
    except TimeoutError as error:
        raise _no_answer_in_time() from error
    except (
        HTTPException,
        urllib3_errors.HTTPError,
        OSError,
        MalformedBody,
    ) as error:
        raise StreamInterrupted(str(error)) from error


def _no_answer_in_time():
    return EngineTimeout("no answer within the timeout")


def _connect(upstream, timeout):
    """Return a new connection, made within `timeout` ms, or raise ConnectFailed."""
    host, port = upstream.address.rsplit(":", 1)
    connection = StreamConnection(host, int(port), timeout=timeout / 1000)
    try:
        connection.connect()
    except (urllib3_errors.HTTPError, OSError) as error:
        connection.close()
        raise ConnectFailed(str(error)) from error
    return connection


def _check_response(method, request, response):
    """Raise EngineFailure unless `response` is a successful response to `request`."""
    if response.status == 404 and method == "GET":
        incarnation = incarnation_in(response.headers)
        raise StreamNotFound("the engine does not keep this stream", incarnation)
    if 400 <= response.status < 600:
        message = response.read(MAX_ERROR_BYTES).decode(errors="replace")
        raise EngineErrorResponse(response.status, message)
    if response.status != 200:
        raise StreamInterrupted(f"status {response.status} is no answer")
    if response.headers.get("X-Request-Id") != request.request_id:
        raise ResponseMismatch("answer to another request")
    content_type = response.headers.get("Content-Type", "")
    if content_type.partition(";")[0].strip().lower() != EVENT_STREAM_TYPE:
        raise StreamInterrupted("the answer is no event stream")
    version = response.headers.get("X-Model-Version", "")
    if version and request.model_version and version != request.model_version:
        raise WrongVersion(f"answer by version {version}")
