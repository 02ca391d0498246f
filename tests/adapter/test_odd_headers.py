"""Numbers out of range in headers, with routers that are real processes."""

import pytest

from mulberryhub.adapter_standins.documents import make_config, route
from mulberryhub.adapter_standins.fleet import PlatformFleet, wait_until
from tests.adapter.raw_workers import RawWorker

REQUEST_COUNT = 4  # one after the other, so that connections are used again
FAILURES = ("task failed", "request handler failed")
ODD_HEADERS_BY_NAME = {
    "keep_alive_of_400_digits": "Keep-Alive: timeout=" + "9" * 400,
    "keep_alive_of_5000_digits": "Keep-Alive: timeout=" + "9" * 5_000,
    "weights_of_400_digits": "X-Mulberryhub-Weight-Versions: " + "9" * 400,
    "weights_of_5000_digits": "X-Mulberryhub-Weight-Versions: " + "9" * 5_000,
    "rate_limit_not_a_number": "Server-Limit: nan",
    "endless_rate_limit": "Server-Limit: 1e999",
    "huge_rate_limit": "Server-Limit: 1e300",
}
ODD_REQUESTS_BY_NAME = {
    "endless_deadline": {"X_Mulberryhub_Deadline_Ms": "inf"},
    "deadline_no_number": {"X_Mulberryhub_Deadline_Ms": "nan"},
    "deadline_of_400_digits": {"X_Mulberryhub_Deadline_Ms": "9" * 400},
    "deadline_of_30_digits": {"X_Mulberryhub_Deadline_Ms": "9" * 30},
    "tokens_of_400_digits": {"X_Mulberryhub_Token_Count": "9" * 400 + ",1"},
    "tokens_below_zero": {"X_Mulberryhub_Token_Count": "-5,-5"},
}


@pytest.fixture(scope="module")
def platform(tmp_path_factory):
    fleet = PlatformFleet(tmp_path_factory.mktemp("platform"))
    config = make_config()
    names = [name.replace("_", "-") for name in ODD_HEADERS_BY_NAME]
    routes = [route(name, f"/{name}/", "idempotent", name) for name in names]
    services = [{"name": name} for name in names]
    try:
        fleet.configure(
            make_config(
                routes=config["routes"] + routes,
                services=config["services"] + services,
            )
        )
        wait_until(lambda: fleet.routers[0].ask("/r/x", "GET", id="warm").status == 200)
        yield fleet
    finally:
        fleet.close()


def failures(router):
    return [line for line in router.lines() if line.get("message") in FAILURES]


@pytest.mark.parametrize("name", ODD_HEADERS_BY_NAME)
def test_odd_header_of_a_worker_fails_no_request(platform, name):
    service = name.replace("_", "-")
    line = ODD_HEADERS_BY_NAME[name].encode() + b"\r\n"

    def respond(conn, id, worker):
        conn.sendall(worker.head(id) + line + b"Content-Length: 2\r\n\r\nok")
        return True

    router = platform.routers[0]
    before = failures(router)
    worker = RawWorker(platform, service, service, respond)
    wait_until(
        lambda: router.ask(f"/{service}/x", "GET", id="known").status != 503, timeout=5
    )
    answers = [
        router.ask(f"/{service}/x", "GET", id=f"{name}{number}")
        for number in range(REQUEST_COUNT)
    ]
    worker.close()
    assert [answer.status for answer in answers] == [200] * REQUEST_COUNT
    assert failures(router) == before


@pytest.mark.parametrize("name", ODD_REQUESTS_BY_NAME)
def test_odd_number_of_a_client_is_served_or_refused(platform, name):
    router = platform.routers[0]
    before = failures(router)
    answer = router.ask("/r/x", "GET", id=name, **ODD_REQUESTS_BY_NAME[name])
    assert answer.status in (200, 400)
    assert failures(router) == before
    assert router.ask("/r/x", "GET", id="after").status == 200
