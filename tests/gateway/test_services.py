import pytest

from benchmarks.ports import free_address
from mulberryhub.base.clock import Clock
from mulberryhub.base.counters import Counters
from mulberryhub.base.digest import key_hash
from mulberryhub.base.errors import Code, HubError, Ran
from mulberryhub.config.inventory import (
    Inventory,
    Key,
    Route,
    Rules,
    Upstream,
    Workspace,
)
from mulberryhub.config.view import ConfigView
from mulberryhub.gateway.services import Services, find_route
from mulberryhub.orders.idempotency import new_key
from mulberryhub.orders.once import OnceCaller
from mulberryhub.upstream.budget import RetryBudget
from mulberryhub.upstream.health import Health
from mulberryhub.upstream.service import ServiceClient
from tests.gateway.calls import make_call
from tests.support.memory_log import MemoryLog

KEY = "caller-key"


class Replica:
    def __init__(self, view):
        self.confirmed = lambda: view


@pytest.fixture
def worker(fleet):
    return fleet.start("mulberryhub.standins.service")


def services_for(*addresses, budget=None, idle_timeout=1_000):
    ids = [f"s{index}" for index in range(len(addresses))]
    inventory = Inventory(
        upstreams=[
            Upstream(id_, "service", "dc", address)
            for id_, address in zip(ids, addresses)
        ],
        workspaces=[Workspace("w", 1.0, 1.0)],
        keys=[Key(key_hash(KEY), "w")],
        routes=[
            Route("/orders", ids, idempotent=False),
            Route("/stock", ids),
            Route("/public", ids, open=True),
            Route("/empty", []),
        ],
        rules=Rules(idle_timeout=idle_timeout),
    )
    clock, counters = Clock(), Counters()
    once = OnceCaller(MemoryLog(clock), clock, counters)
    services = Services(
        Replica(ConfigView(0, inventory)),
        ServiceClient(),
        once,
        Health(clock, counters),
        budget or RetryBudget(),
        counters,
    )
    return services, counters


def order(key=None, path="/orders", body=b"{}", headers=(), **options):
    key = key or new_key(Clock().wall())
    sent = (("Authorization", f"Bearer {KEY}"), ("Idempotency-Key", key), *headers)
    return make_call("POST", path, headers=sent, body=body, **options)


def refusal(services, call):
    with pytest.raises(HubError) as raised:
        services.handle(call)
    return raised.value.code, raised.value.ran


def runs(worker):
    return worker.request("GET", "/runs").json()


def test_order_runs_once_and_is_replayed(worker):
    services, _ = services_for(worker.address)
    key = new_key(Clock().wall())
    first, second = services.handle(order(key)), services.handle(order(key))
    assert (first.status, first.body) == (201, second.body)
    assert ("Idempotency-Replayed", "true") in second.headers
    assert ("X-Upstream", "s0") in second.headers
    assert runs(worker)["by_key"] == {key: 1}


@pytest.mark.parametrize(
    ("path", "keys", "code"),
    [
        ("/orders", [], Code.MISSING_IDEMPOTENCY_KEY),
        ("/orders", ["a", "b"], Code.MISSING_IDEMPOTENCY_KEY),
        ("/orders", ["x" * 256], Code.BAD_REQUEST),
        ("/nowhere", [], Code.UNKNOWN_ROUTE),
        ("/orders/../stock", [], Code.BAD_REQUEST),
        ("/empty", [], Code.UPSTREAM_FAILED),
    ],
)
def test_bad_calls_are_refused(worker, path, keys, code):
    services, _ = services_for(worker.address)
    headers = [("X-Api-Key", KEY), *(("Idempotency-Key", key) for key in keys)]
    call = make_call("POST", path, headers=headers)
    code = Code.NO_UPSTREAM if path == "/empty" else code
    assert refusal(services, call) == (code, Ran.NOT_RUN)
    assert runs(worker)["total"] == 0


def test_key_is_needed_but_on_open_routes(worker):
    services, _ = services_for(worker.address)
    assert refusal(services, make_call("GET", "/stock"))[0] is Code.MISSING_KEY
    assert services.handle(make_call("GET", "/public/page")).status == 201


def test_callers_key_never_goes_upstream(worker):
    services, _ = services_for(worker.address)
    places = [
        {"headers": [("Authorization", f"Bearer {KEY}"), ("Accept", KEY)]},
        {"headers": [("X-Api-Key", KEY), ("X-Request-Id", KEY), ("Cookie", KEY)]},
        {"query": f"api_key={KEY}&part=7&again={KEY}"},
    ]
    for path in ("/stock", "/public"):
        for place in places:
            services.handle(make_call("GET", path, **place))
    services.handle(order(query="part=7"))
    answer = worker.request("GET", "/runs")
    assert KEY not in answer.data.decode()
    assert answer.json()["total"] == 7
    assert answer.json()["runs"][2]["query"] == "part=7"
    assert answer.json()["runs"][0]["workspace"] == "w"


def test_idempotent_call_is_retried_elsewhere(worker):
    services, counters = services_for(free_address(), worker.address)
    for _ in range(6):
        call = make_call("GET", "/stock", headers=[("X-Api-Key", KEY)])
        assert services.handle(call).status == 201
    worker.fault(drop_answers=1)
    assert services.handle(call).status == 201
    assert counters.by_name["retry.cut"] == 1


def test_retries_stay_within_the_budget():
    services, counters = services_for(free_address(), budget=RetryBudget(3))
    for _ in range(10):
        call = make_call("GET", "/stock", headers=[("X-Api-Key", KEY)])
        assert refusal(services, call) == (Code.UPSTREAM_FAILED, Ran.NOT_RUN)
    assert counters.by_name["retry.connect"] <= 4


def test_order_goes_elsewhere_only_if_nothing_was_sent(worker):
    services, _ = services_for(free_address(), worker.address)
    for _ in range(6):
        assert services.handle(order()).status == 201
    worker.fault(drop_answers=1)
    key = new_key(Clock().wall())
    assert refusal(services, order(key)) == (Code.UPSTREAM_FAILED, Ran.UNKNOWN)
    assert refusal(services, order(key)) == (Code.OUTCOME_UNKNOWN, Ran.UNKNOWN)
    assert runs(worker)["by_key"][key] == 1


def test_order_without_connection_is_not_run():
    services, _ = services_for(free_address(), free_address())
    assert refusal(services, order()) == (Code.NO_UPSTREAM, Ran.NOT_RUN)


def test_error_status_of_an_order_is_its_answer(worker):
    services, _ = services_for(worker.address)
    worker.fault(status=503)
    key = new_key(Clock().wall())
    assert services.handle(order(key)).status == 503
    worker.fault(status=None)
    assert services.handle(order(key)).status == 503
    assert runs(worker)["total"] == 1


def test_silent_service(worker):
    services, counters = services_for(worker.address, idle_timeout=200)
    worker.fault(silent=True)
    call = make_call("GET", "/stock", headers=[("X-Api-Key", KEY)])
    assert refusal(services, call) == (Code.UPSTREAM_SILENT, Ran.UNKNOWN)
    assert counters.by_name["retry.silent"] == 2


def test_longest_route_wins():
    routes = {path: Route(path, []) for path in ("/a", "/a/b", "/c/")}
    assert find_route(routes, "/a/b/c").path == "/a/b"
    assert find_route(routes, "/a/bc").path == "/a"
    assert find_route(routes, "/c/d").path == "/c/"
    assert find_route(routes, "/ab") is None
