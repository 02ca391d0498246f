"""Limits that the operator changes while clients keep their connections open."""

import http.client
import time

import pytest

from mulberryhub.adapter_standins.documents import KEY, call_headers, make_config
from mulberryhub.adapter_standins.fleet import PlatformFleet

SMALL_BYTES = 1_000
LARGE_BYTES = 50_000
BODY = b"b" * 10_000
ADOPTION_TIMEOUT_S = 2.0  # since the store acknowledged the operator's write


@pytest.fixture
def platform(tmp_path):
    fleet = PlatformFleet(tmp_path, routers=2)
    try:
        yield fleet
    finally:
        fleet.close()


def limits_config(version, body_bytes):
    return make_config(version, limits={"maxBodyBytes": body_bytes})


class KeptConnection:
    """A client's connection that serves one request after the other."""

    def __init__(self, router):
        self._connection = http.client.HTTPConnection(router.front)
        self._name = router.name
        self._count = 0

    def ask(self, body):
        self._count += 1
        headers = call_headers(f"{self._name}-{self._count}", KEY)
        self._connection.request("POST", "/o/x", body=body, headers=headers)
        answer = self._connection.getresponse()
        answer.read()
        return answer.status


@pytest.mark.parametrize(
    "first_bytes, second_bytes, statuses",
    [
        pytest.param(SMALL_BYTES, LARGE_BYTES, (200, 200), id="raised"),
        pytest.param(LARGE_BYTES, SMALL_BYTES, (200, 413), id="lowered"),
    ],
)
def test_kept_connections_follow_a_changed_limit(
    platform, first_bytes, second_bytes, statuses
):
    # Guards against a 413 for what is allowed now, and a 200 for what was before.
    platform.configure(limits_config(1, first_bytes))
    connections = [KeptConnection(router) for router in platform.routers]
    assert [item.ask(b"small") for item in connections] == [statuses[0]] * 2
    platform.write("config", limits_config(2, second_bytes))
    time.sleep(ADOPTION_TIMEOUT_S)
    assert [item.ask(BODY) for item in connections] == [statuses[1]] * 2
