import pytest

from benchmarks.ports import free_address
from mulberryhub.base.clock import Clock
from mulberryhub.base.counters import Counters
from mulberryhub.base.digest import key_hash
from mulberryhub.base.errors import ApiError, ErrorCode, ExecutionState
from mulberryhub.config.inventory import (
    Inventory,
    Key,
    Route,
    Rules,
    Upstream,
    Workspace,
)
from mulberryhub.config.view import ConfigView
from mulberryhub.gateway.service_routes import ServiceRoutes, find_route
from mulberryhub.orders.at_most_once import AtMostOnceCaller
from mulberryhub.orders.idempotency import new_idempotency_key
from mulberryhub.upstream.budget import RetryBudget
from mulberryhub.upstream.health import UpstreamHealth
from mulberryhub.upstream.service import ServiceClient
from tests.gateway.http_requests import make_request
from tests.support.memory_log import MemoryLog

CLIENT_KEY = "caller-key"


class StaticReplica:
    """Provides a fixed configuration view."""

    def __init__(self, view):
        self.wait_for_view = lambda: view


@pytest.fixture
def service(fleet):
    return fleet.start("mulberryhub.standins.service")


def make_service_routes(*addresses, retry_budget=None, idle_timeout=1_000):
    ids = [f"s{index}" for index in range(len(addresses))]
    inventory = Inventory(
        upstreams=[
            Upstream(id_, "service", "dc", address)
            for id_, address in zip(ids, addresses)
        ],
        workspaces=[Workspace("w", 1.0, 1.0)],
        keys=[Key(key_hash(CLIENT_KEY), "w")],
        routes=[
            Route("/orders", ids, idempotent=False),
            Route("/stock", ids),
            Route("/public", ids, open=True),
            Route("/empty", []),
        ],
        rules=Rules(idle_timeout=idle_timeout),
    )
    clock, counters = Clock(), Counters()
    at_most_once_caller = AtMostOnceCaller(MemoryLog(clock), clock, counters)
    service_routes = ServiceRoutes(
        StaticReplica(ConfigView(0, inventory)),
        ServiceClient(),
        at_most_once_caller,
        UpstreamHealth(clock, counters),
        retry_budget or RetryBudget(),
        counters,
    )
    return service_routes, counters


def make_order(key=None, path="/orders", body=b"{}", headers=(), **options):
    key = key or new_idempotency_key(Clock().wall())
    all_headers = (
        ("Authorization", f"Bearer {CLIENT_KEY}"),
        ("Idempotency-Key", key),
        *headers,
    )
    return make_request("POST", path, headers=all_headers, body=body, **options)


def handle_error(service_routes, request):
    with pytest.raises(ApiError) as raised:
        service_routes.handle(request)
    return raised.value.code, raised.value.execution_state


def executions(service):
    return service.request("GET", "/runs").json()


def test_order_is_executed_once_and_its_response_replayed(service):
    service_routes, _ = make_service_routes(service.address)
    key = new_idempotency_key(Clock().wall())
    first, second = (
        service_routes.handle(make_order(key)),
        service_routes.handle(make_order(key)),
    )
    assert (first.status, first.body) == (201, second.body)
    assert ("Idempotency-Replayed", "true") in second.headers
    assert ("X-Upstream", "s0") in second.headers
    assert executions(service)["by_key"] == {key: 1}


@pytest.mark.parametrize(
    ("path", "keys", "code"),
    [
        ("/orders", [], ErrorCode.MISSING_IDEMPOTENCY_KEY),
        ("/orders", ["a", "b"], ErrorCode.MISSING_IDEMPOTENCY_KEY),
        ("/orders", ["x" * 256], ErrorCode.BAD_REQUEST),
        ("/nowhere", [], ErrorCode.UNKNOWN_ROUTE),
        ("/orders/../stock", [], ErrorCode.BAD_REQUEST),
        ("/empty", [], ErrorCode.UPSTREAM_FAILED),
    ],
)
def test_invalid_requests_are_rejected(service, path, keys, code):
    service_routes, _ = make_service_routes(service.address)
    headers = [("X-Api-Key", CLIENT_KEY), *(("Idempotency-Key", key) for key in keys)]
    request = make_request("POST", path, headers=headers)
    code = ErrorCode.NO_UPSTREAM if path == "/empty" else code
    assert handle_error(service_routes, request) == (code, ExecutionState.NOT_RUN)
    assert executions(service)["total"] == 0


def test_key_is_required_except_on_open_routes(service):
    service_routes, _ = make_service_routes(service.address)
    assert (
        handle_error(service_routes, make_request("GET", "/stock"))[0]
        is ErrorCode.MISSING_KEY
    )
    assert service_routes.handle(make_request("GET", "/public/page")).status == 201


def test_client_key_is_never_sent_upstream(service):
    service_routes, _ = make_service_routes(service.address)
    key_locations = [
        {
            "headers": [
                ("Authorization", f"Bearer {CLIENT_KEY}"),
                ("Accept", CLIENT_KEY),
            ]
        },
        {
            "headers": [
                ("X-Api-Key", CLIENT_KEY),
                ("X-Request-Id", CLIENT_KEY),
                ("Cookie", CLIENT_KEY),
            ]
        },
        {"query": f"api_key={CLIENT_KEY}&part=7&again={CLIENT_KEY}"},
    ]
    for path in ("/stock", "/public"):
        for key_location in key_locations:
            service_routes.handle(make_request("GET", path, **key_location))
    service_routes.handle(make_order(query="part=7"))
    response = service.request("GET", "/runs")
    assert CLIENT_KEY not in response.data.decode()
    assert response.json()["total"] == 7
    assert response.json()["runs"][2]["query"] == "part=7"
    assert response.json()["runs"][0]["workspace"] == "w"


def test_idempotent_request_is_retried_on_another_service(service):
    service_routes, counters = make_service_routes(free_address(), service.address)
    for _ in range(6):
        request = make_request("GET", "/stock", headers=[("X-Api-Key", CLIENT_KEY)])
        assert service_routes.handle(request).status == 201
    service.set_faults(drop_answers=1)
    assert service_routes.handle(request).status == 201
    assert counters.by_name["retry.cut"] == 1


def test_retries_are_limited_by_the_budget():
    service_routes, counters = make_service_routes(
        free_address(), retry_budget=RetryBudget(3)
    )
    for _ in range(10):
        request = make_request("GET", "/stock", headers=[("X-Api-Key", CLIENT_KEY)])
        assert handle_error(service_routes, request) == (
            ErrorCode.UPSTREAM_FAILED,
            ExecutionState.NOT_RUN,
        )
    assert counters.by_name["retry.connect"] <= 4


def test_order_fails_over_only_if_nothing_was_sent(service):
    service_routes, _ = make_service_routes(free_address(), service.address)
    for _ in range(6):
        assert service_routes.handle(make_order()).status == 201
    service.set_faults(drop_answers=1)
    key = new_idempotency_key(Clock().wall())
    assert handle_error(service_routes, make_order(key)) == (
        ErrorCode.UPSTREAM_FAILED,
        ExecutionState.UNKNOWN,
    )
    assert handle_error(service_routes, make_order(key)) == (
        ErrorCode.OUTCOME_UNKNOWN,
        ExecutionState.UNKNOWN,
    )
    assert executions(service)["by_key"][key] == 1


def test_order_without_connection_is_not_executed():
    service_routes, _ = make_service_routes(free_address(), free_address())
    assert handle_error(service_routes, make_order()) == (
        ErrorCode.NO_UPSTREAM,
        ExecutionState.NOT_RUN,
    )


def test_error_status_of_an_order_is_replayed(service):
    service_routes, _ = make_service_routes(service.address)
    service.set_faults(status=503)
    key = new_idempotency_key(Clock().wall())
    assert service_routes.handle(make_order(key)).status == 503
    service.set_faults(status=None)
    assert service_routes.handle(make_order(key)).status == 503
    assert executions(service)["total"] == 1


def test_silent_service_is_retried_until_the_attempts_are_used_up(service):
    service_routes, counters = make_service_routes(service.address, idle_timeout=200)
    service.set_faults(silent=True)
    request = make_request("GET", "/stock", headers=[("X-Api-Key", CLIENT_KEY)])
    assert handle_error(service_routes, request) == (
        ErrorCode.UPSTREAM_SILENT,
        ExecutionState.UNKNOWN,
    )
    assert counters.by_name["retry.silent"] == 2


def test_longest_matching_route_is_chosen():
    routes = {path: Route(path, []) for path in ("/a", "/a/b", "/c/")}
    assert find_route(routes, "/a/b/c").path == "/a/b"
    assert find_route(routes, "/a/bc").path == "/a"
    assert find_route(routes, "/c/d").path == "/c/"
    assert find_route(routes, "/ab") is None
