"""Request handler of the routes to plain HTTP services, with safe retries."""

from http import HTTPStatus
from random import sample

from mulberryhub.base.errors import ApiError, ErrorCode, ExecutionState
from mulberryhub.base.green import sleep
from mulberryhub.gateway.auth import authenticate_and_read_body
from mulberryhub.gateway.forwarding import (
    forwarded_headers,
    forwarded_target,
    returned_headers,
)
from mulberryhub.gateway.http_messages import HttpResponse
from mulberryhub.orders.idempotency import request_fingerprint
from mulberryhub.orders.outcome import CallOutcome, NotSent
from mulberryhub.upstream.budget import backoff_ms
from mulberryhub.upstream.errors import ConnectFailed, EngineFailure
from mulberryhub.upstream.service import ServiceRequest

MAX_ATTEMPTS = 3
AT_MOST_ONCE_TIMEOUT_MS = 30_000
NO_UPSTREAM_RETRY_AFTER_MS = 2_000
DEFAULT_CONTENT_TYPE = "application/octet-stream"
ANONYMOUS_WORKSPACE_ID = ""


class ServiceRoutes:
    """Forwards requests to plain HTTP services by the configured routes.

    `replica` provides the configuration and `client` sends requests to services.
    `at_most_once_caller` executes requests on routes that are not idempotent,
    `health` orders failing services last and `retry_budget` limits retries.
    """

    __slots__ = (
        "_replica",
        "_client",
        "_at_most_once_caller",
        "_health",
        "_retry_budget",
        "_counters",
    )

    def __init__(
        self, replica, client, at_most_once_caller, health, retry_budget, counters
    ):
        self._replica = replica
        self._client = client
        self._at_most_once_caller = at_most_once_caller
        self._health = health
        self._retry_budget = retry_budget
        self._counters = counters

    def handle(self, request):
        """Return the response to a request on a configured route.

        Raise ApiError if there is no such route, the client is not authorized or
        the request fails.
        """
        view = self._replica.wait_for_view()
        route = find_route(view.routes_by_path, request.path)
        if route is None:
            raise ApiError(ErrorCode.UNKNOWN_ROUTE, "nothing serves this path")
        if route.open:
            workspace_id, body = ANONYMOUS_WORKSPACE_ID, request.read_body()
        else:
            view, workspace, body = authenticate_and_read_body(request, self._replica)
            workspace_id = workspace.id
        headers = forwarded_headers(request, workspace_id)
        service_request = ServiceRequest(
            method=request.method,
            target=forwarded_target(request),
            headers=headers,
            body=body,
            request_id=headers["X-Request-Id"],
            timeout=view.inventory.rules.idle_timeout,
        )
        upstreams = self._ordered_upstreams(view, route)
        if route.idempotent:
            return _to_response(self._send_with_retries(upstreams, service_request))
        return self._send_at_most_once(
            request, workspace_id, route, upstreams, service_request
        )

    def _ordered_upstreams(self, view, route):
        """Return the upstreams of `route` in random order, failing ones last."""
        ids = [id_ for id_ in route.upstreams if id_ in view.upstreams_by_id]
        ordered_ids = self._health.avoided_last(sample(ids, len(ids)))
        return [view.upstreams_by_id[id_] for id_ in ordered_ids]

    def _send_at_most_once(
        self, request, workspace_id, route, upstreams, service_request
    ):
        keys = request.headers_named("Idempotency-Key")
        if len(keys) != 1:
            raise ApiError(
                ErrorCode.MISSING_IDEMPOTENCY_KEY,
                "one Idempotency-Key must come with it",
            )
        service_request.timeout = AT_MOST_ONCE_TIMEOUT_MS
        fingerprint = request_fingerprint(
            request.method, service_request.target, service_request.body
        )

        def send():
            return self._send_to_first_reachable(upstreams, service_request)

        outcome = self._at_most_once_caller.call(
            workspace_id, route.path, keys[0], fingerprint, send
        )
        return _to_response(outcome)

    def _send_to_first_reachable(self, upstreams, service_request):
        """Send the call to the first upstream that accepts a connection.

        The call is never sent to a second upstream. Raise NotSent if no upstream
        accepts a connection.
        """
        for index, upstream in enumerate(upstreams):
            if index > 0:
                self._counters.add("retry.connect")
            try:
                service_response = self._client.send_on_new_connection(
                    upstream, service_request
                )
            except ConnectFailed:
                self._health.record_failure(upstream.id)
            except EngineFailure as error:
                self._health.record_failure(upstream.id)
                raise _upstream_error(error, ExecutionState.UNKNOWN)
            else:
                return self._outcome(upstream, service_response)
        raise NotSent("no service takes a connection")

    def _send_with_retries(self, upstreams, service_request):
        """Send the call, with retries on the upstreams in order.

        Raise ApiError after MAX_ATTEMPTS or if the retry budget is exhausted.
        """
        if not upstreams:
            raise _no_upstream_error()
        self._retry_budget.record_request()
        execution_state = ExecutionState.NOT_RUN
        for attempt in range(MAX_ATTEMPTS):
            upstream = upstreams[attempt % len(upstreams)]
            try:
                service_response = self._client.send(upstream, service_request)
                return self._outcome(upstream, service_response)
            except EngineFailure as error:
                self._health.record_failure(upstream.id)
                execution_state = (
                    ExecutionState.UNKNOWN
                    if error.may_have_been_sent
                    else execution_state
                )
                failure = error
            if attempt + 1 == MAX_ATTEMPTS or not self._retry_budget.try_spend():
                break
            self._counters.add(f"retry.{failure.reason}")
            sleep(backoff_ms(attempt) / 1000)
        raise _upstream_error(failure, execution_state)

    def _outcome(self, upstream, service_response):
        self._health.record_success(upstream.id)
        headers = returned_headers(service_response, upstream.id)
        return CallOutcome(service_response.status, headers, service_response.body)


def find_route(routes_by_path, path):
    """Return the route whose path is the longest prefix of `path`, or None.

    Prefixes are compared by whole path segments.
    """
    while path:
        route = routes_by_path.get(path) or routes_by_path.get(path + "/")
        if route is not None:
            return route
        path = path.rpartition("/")[0]
    return routes_by_path.get("/")


def _to_response(outcome):
    if outcome.status not in HTTPStatus.__members__.values():
        raise ApiError(
            ErrorCode.UPSTREAM_FAILED,
            f"the service answered {outcome.status}",
            ExecutionState.RAN,
        )
    headers = dict(outcome.headers)
    content_type = headers.pop("Content-Type", DEFAULT_CONTENT_TYPE)
    if outcome.replayed:
        headers["Idempotency-Replayed"] = "true"
    return HttpResponse(outcome.status, outcome.body, content_type, headers.items())


def _upstream_error(error, execution_state):
    code = ErrorCode.UPSTREAM_FAILED
    if error.reason == "silent":
        code = ErrorCode.UPSTREAM_SILENT
    retry_after = (
        NO_UPSTREAM_RETRY_AFTER_MS
        if execution_state is ExecutionState.NOT_RUN
        else None
    )
    return ApiError(code, str(error), execution_state, retry_after)


def _no_upstream_error():
    return ApiError(
        ErrorCode.NO_UPSTREAM,
        "the route has no service",
        retry_after=NO_UPSTREAM_RETRY_AFTER_MS,
    )
