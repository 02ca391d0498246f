import msgspec
import pytest

from mulberryhub.base.counters import Counters
from mulberryhub.base.errors import ApiError, ErrorCode
from mulberryhub.gateway.app import Endpoint, Gateway
from mulberryhub.gateway.responses import json_response


def raise_unexpected_error(request):
    raise ZeroDivisionError("secret detail")


def make_gateway(handler, is_ready=True, is_stopping=False, can_serve=None):
    counters = Counters()
    gateway = Gateway(
        {"/v1/models": Endpoint("GET", handler)},
        lambda request: json_response({"path": request.path}),
        lambda: is_ready if can_serve is None else can_serve,
        lambda: is_ready,
        lambda: is_stopping,
        lambda: True,
        counters,
    )
    return gateway, counters


def send_request(gateway, path="/v1/models", method="GET"):
    statuses = []
    environ = {"REQUEST_METHOD": method, "PATH_INFO": path}
    body = gateway(environ, lambda status, headers: statuses.append(status))
    return int(statuses[0].split()[0]), msgspec.json.decode(b"".join(body))


@pytest.mark.parametrize("code", list(ErrorCode))
def test_each_error_code_is_counted_once(code):
    def raise_error(request):
        raise ApiError(code, "why")

    gateway, counters = make_gateway(raise_error)
    status, document = send_request(gateway)
    assert (status, document["error"]["code"]) == (code.status, code.label)
    assert counters.by_name[f"refusal.{code.label}"] == 1


def test_unexpected_error_does_not_disclose_details():
    gateway, counters = make_gateway(raise_unexpected_error)
    status, document = send_request(gateway)
    assert status == 500
    assert "secret" not in msgspec.json.encode(document).decode()
    assert document["error"]["ran"] == "unknown"
    assert counters.by_name["refusal.internal"] == 1


def test_requests_are_rejected_while_not_ready():
    gateway, _ = make_gateway(lambda request: json_response({}), is_ready=False)
    for path in ("/v1/models", "/orders", "/readyz"):
        status, document = send_request(gateway, path)
        assert (status, document["error"]["code"]) == (503, "not_ready")


def test_requests_are_accepted_while_a_known_configuration_is_not_confirmed():
    gateway, _ = make_gateway(
        lambda request: json_response({}), is_ready=False, can_serve=True
    )
    assert send_request(gateway)[0] == 200
    assert send_request(gateway, "/readyz")[0] == 503


def test_stopping_router_serves_requests_but_fails_readiness():
    gateway, _ = make_gateway(lambda request: json_response({}), is_stopping=True)
    assert send_request(gateway)[0] == 200
    assert send_request(gateway, "/readyz")[0] == 503


def test_unknown_paths_use_the_fallback():
    gateway, _ = make_gateway(lambda request: json_response({}))
    assert send_request(gateway, "/orders/1") == (200, {"path": "/orders/1"})
    assert send_request(gateway, method="POST")[0] == 405
