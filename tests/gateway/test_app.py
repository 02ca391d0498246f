import msgspec
import pytest

from mulberryhub.base.counters import Counters
from mulberryhub.base.errors import Code, HubError
from mulberryhub.gateway.app import Endpoint, Gateway
from mulberryhub.gateway.replies import json_reply


def raise_internal(call):
    raise ZeroDivisionError("secret detail")


def make_gateway(handle, ready=True, stopping=False):
    counters = Counters()
    gateway = Gateway(
        {"/v1/models": Endpoint("GET", handle)},
        lambda call: json_reply({"path": call.path}),
        lambda: ready,
        lambda: stopping,
        lambda: True,
        counters,
    )
    return gateway, counters


def ask(gateway, path="/v1/models", method="GET"):
    started = []
    environ = {"REQUEST_METHOD": method, "PATH_INFO": path}
    body = gateway(environ, lambda status, headers: started.append(status))
    return int(started[0].split()[0]), msgspec.json.decode(b"".join(body))


@pytest.mark.parametrize("code", list(Code))
def test_each_refusal_is_counted_once(code):
    def refuse(call):
        raise HubError(code, "why")

    gateway, counters = make_gateway(refuse)
    status, document = ask(gateway)
    assert (status, document["error"]["code"]) == (code.status, code.label)
    assert counters.by_name[f"refusal.{code.label}"] == 1


def test_failure_of_a_handler_tells_no_detail():
    gateway, counters = make_gateway(raise_internal)
    status, document = ask(gateway)
    assert status == 500
    assert "secret" not in msgspec.json.encode(document).decode()
    assert document["error"]["ran"] == "unknown"
    assert counters.by_name["refusal.internal"] == 1


def test_nothing_is_served_without_a_configuration():
    gateway, _ = make_gateway(lambda call: json_reply({}), ready=False)
    for path in ("/v1/models", "/orders", "/readyz"):
        status, document = ask(gateway, path)
        assert (status, document["error"]["code"]) == (503, "not_ready")


def test_stopping_router_serves_but_is_not_ready():
    gateway, _ = make_gateway(lambda call: json_reply({}), stopping=True)
    assert ask(gateway)[0] == 200
    assert ask(gateway, "/readyz")[0] == 503


def test_other_paths_go_to_the_fallback():
    gateway, _ = make_gateway(lambda call: json_reply({}))
    assert ask(gateway, "/orders/1") == (200, {"path": "/orders/1"})
    assert ask(gateway, method="POST")[0] == 405
