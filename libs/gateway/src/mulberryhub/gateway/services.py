"""Routes of plain services: checks a call, sends it, and retries where that is safe."""

from http import HTTPStatus
from random import sample

from mulberryhub.base.errors import Code, HubError, Ran
from mulberryhub.base.green import sleep
from mulberryhub.gateway.auth import read_authenticated
from mulberryhub.gateway.call import Reply
from mulberryhub.gateway.forwarding import (
    forwarded_headers,
    forwarded_target,
    returned_headers,
)
from mulberryhub.orders.idempotency import request_fingerprint
from mulberryhub.orders.outcome import NotSent, Outcome
from mulberryhub.upstream.budget import backoff
from mulberryhub.upstream.errors import ConnectFailed, EngineFailure
from mulberryhub.upstream.service import ServiceCall

MAX_ATTEMPTS = 3
ONCE_TIMEOUT = 30_000  # ms until the answer to a call that runs at most once
NO_UPSTREAM_RETRY = 2_000  # ms
DEFAULT_TYPE = "application/octet-stream"
OPEN_WORKSPACE = ""


class Services:
    """Serves the routes in the configuration.

    `replica` gives the configuration, `client` sends to services, `once` runs calls
    at most once, `health` puts failing services last and `budget` bounds retries.
    """

    __slots__ = ("_replica", "_client", "_once", "_health", "_budget", "_counters")

    def __init__(self, replica, client, once, health, budget, counters):
        self._replica = replica
        self._client = client
        self._once = once
        self._health = health
        self._budget = budget
        self._counters = counters

    def handle(self, call):
        """Answer a call on a route of the configuration."""
        view = self._replica.confirmed()
        route = find_route(view.routes_by_path, call.path)
        if route is None:
            raise HubError(Code.UNKNOWN_ROUTE, "nothing serves this path")
        if route.open:
            workspace_id, body = OPEN_WORKSPACE, call.read_body()
        else:
            view, workspace, body = read_authenticated(call, self._replica)
            workspace_id = workspace.id
        headers = forwarded_headers(call, workspace_id)
        service_call = ServiceCall(
            method=call.method,
            target=forwarded_target(call),
            headers=headers,
            body=body,
            request_id=headers["X-Request-Id"],
            timeout=view.inventory.rules.idle_timeout,
        )
        upstreams = self._candidates(view, route)
        if route.idempotent:
            return _reply(self._send_with_retries(upstreams, service_call))
        return self._send_once(call, workspace_id, route, upstreams, service_call)

    def _candidates(self, view, route):
        ids = [id_ for id_ in route.upstreams if id_ in view.upstreams_by_id]
        ordered = self._health.ordered(sample(ids, len(ids)))
        return [view.upstreams_by_id[id_] for id_ in ordered]

    def _send_once(self, call, workspace_id, route, upstreams, service_call):
        keys = call.headers_named("Idempotency-Key")
        if len(keys) != 1:
            raise HubError(
                Code.MISSING_IDEMPOTENCY_KEY, "one Idempotency-Key must come with it"
            )
        service_call.timeout = ONCE_TIMEOUT
        fingerprint = request_fingerprint(
            call.method, service_call.target, service_call.body
        )

        def send():
            return self._send_to_first(upstreams, service_call)

        outcome = self._once.call(workspace_id, route.path, keys[0], fingerprint, send)
        return _reply(outcome)

    def _send_to_first(self, upstreams, service_call):
        """Send to the first service that takes a connection, and to no other."""
        for index, upstream in enumerate(upstreams):
            if index > 0:
                self._counters.add("retry.connect")
            try:
                answer = self._client.send_fresh(upstream, service_call)
            except ConnectFailed:
                self._health.failed(upstream.id)
            except EngineFailure as error:
                self._health.failed(upstream.id)
                raise _failed(error, Ran.UNKNOWN)
            else:
                return self._outcome(upstream, answer)
        raise NotSent("no service takes a connection")

    def _send_with_retries(self, upstreams, service_call):
        """Send until an answer comes, attempts run out or the budget is spent."""
        if not upstreams:
            raise _no_upstream()
        self._budget.earn()
        ran = Ran.NOT_RUN
        for attempt in range(MAX_ATTEMPTS):
            upstream = upstreams[attempt % len(upstreams)]
            try:
                answer = self._client.send(upstream, service_call)
                return self._outcome(upstream, answer)
            except EngineFailure as error:
                self._health.failed(upstream.id)
                ran = Ran.UNKNOWN if error.sent else ran
                failure = error
            if attempt + 1 == MAX_ATTEMPTS or not self._budget.spend():
                break
            self._counters.add(f"retry.{failure.reason}")
            sleep(backoff(attempt) / 1000)
        raise _failed(failure, ran)

    def _outcome(self, upstream, answer):
        self._health.answered(upstream.id)
        headers = returned_headers(answer, upstream.id)
        return Outcome(answer.status, headers, answer.body)


def find_route(routes_by_path, path):
    """Return the route with the longest path that is a prefix of `path`, or None."""
    while path:
        route = routes_by_path.get(path) or routes_by_path.get(path + "/")
        if route is not None:
            return route
        path = path.rpartition("/")[0]
    return routes_by_path.get("/")


def _reply(outcome):
    if outcome.status not in HTTPStatus.__members__.values():
        raise HubError(
            Code.UPSTREAM_FAILED, f"the service answered {outcome.status}", Ran.RAN
        )
    headers = dict(outcome.headers)
    content_type = headers.pop("Content-Type", DEFAULT_TYPE)
    if outcome.replayed:
        headers["Idempotency-Replayed"] = "true"
    return Reply(outcome.status, outcome.body, content_type, headers.items())


def _failed(error, ran):
    code = Code.UPSTREAM_FAILED
    if error.reason == "silent":
        code = Code.UPSTREAM_SILENT
    retry_after = NO_UPSTREAM_RETRY if ran is Ran.NOT_RUN else None
    return HubError(code, str(error), ran, retry_after)


def _no_upstream():
    return HubError(
        Code.NO_UPSTREAM, "the route has no service", retry_after=NO_UPSTREAM_RETRY
    )
