import socket
import time

import pytest

from benchmarks.demo import apply_inventory, wait_ready
from benchmarks.topology import CALLER_KEYS_BY_WORKSPACE, Topology

KEY = CALLER_KEYS_BY_WORKSPACE["hotels"].encode()
PATH = b"/v1/chat/completions"
ANSWER_TIMEOUT = 30.0  # s


@pytest.fixture(scope="module")
def router():
    with Topology(routers=1, engines=1, services=False) as topology:
        router = topology.routers_by_id["vm-1"]
        apply_inventory(router, topology.inventory())
        wait_ready([router])
        yield router


def exchange(router, data):
    host, port = router.address.split(":")
    with socket.create_connection((host, int(port)), ANSWER_TIMEOUT) as connection:
        connection.sendall(data)
        connection.shutdown(socket.SHUT_WR)
        answer = b""
        while piece := connection.recv(65_536):
            answer += piece
    return answer


def request(headers, body=b""):
    lines = [b"POST " + PATH + b" HTTP/1.1", b"Host: x", b"Connection: close"]
    return b"\r\n".join([*lines, *headers, b"", body])


AUTHORIZED = b"Authorization: Bearer " + KEY


@pytest.mark.parametrize(
    "headers, body, status, code",
    [
        ([AUTHORIZED, b"Content-Length: 1"], b"{", b"400", b"malformed_json"),
        ([AUTHORIZED, b"Content-Length: 9"], b"{", b"400", b"bad_request"),
        ([AUTHORIZED, b"Content-Length: -1"], b"{", b"400", None),
        ([AUTHORIZED, b"Content-Length: x"], b"{", b"400", None),
        ([AUTHORIZED, b"Content-Length: 99999999"], b"{", b"413", b"body_too_large"),
        (
            [AUTHORIZED, b"Transfer-Encoding: chunked"],
            b"zz\r\n{}\r\n0\r\n\r\n",
            b"400",
            b"bad_request",
        ),
        (
            [AUTHORIZED, b"Content-Length: 2", b"Transfer-Encoding: chunked"],
            b"2\r\n{}\r\n0\r\n\r\n",
            b"400",
            None,
        ),
        (
            [AUTHORIZED, b"Content-Length: 2", b"Content-Length: 9"],
            b"{}GET / H",
            b"400",
            None,
        ),
        ([AUTHORIZED, b"X-Api-Key: other"], b"", b"400", b"duplicate_key"),
        ([AUTHORIZED, AUTHORIZED + b"x"], b"", b"400", b"duplicate_key"),
        ([b"X-Long: " + b"a" * 70_000], b"", b"400", None),
        ([b"X-%d: y" % index for index in range(9_000)], b"", b"431", None),
    ],
)
def test_bad_requests_get_a_client_error(router, headers, body, status, code):
    answer = exchange(router, request(headers, body))
    assert answer.split(b" ")[1] == status
    assert code is None or b'"code":"' + code + b'"' in answer
    assert KEY not in answer
    assert router.request("GET", "/healthz").status == 200


def test_conflicting_lengths_end_the_connection(router):
    lengths = [b"Content-Length: 0", b"Content-Length: 34"]
    lines = [b"POST " + PATH + b" HTTP/1.1", b"Host: x", AUTHORIZED, *lengths, b"", b""]
    smuggled = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
    answer = exchange(router, b"\r\n".join(lines) + smuggled)
    assert answer.startswith(b"HTTP/1.1 400")
    assert answer.count(b"HTTP/1.1") == 1


def test_garbage_closes_the_connection_only(router):
    exchange(router, b"\x00\xff garbage\r\n\r\n")
    assert router.request("GET", "/healthz").status == 200
    assert KEY.decode() not in router.stderr()
    assert "Traceback" not in router.stderr()


def test_a_refused_client_that_still_sends_gets_its_answer(router):
    lines = [b"X-%d: y" % index for index in range(9_000)]
    head = request(lines)
    host, port = router.address.split(":")
    for _ in range(10):
        with socket.create_connection((host, int(port)), ANSWER_TIMEOUT) as client:
            client.sendall(head[: len(head) // 2])
            time.sleep(0.05)  # The refusal comes before the rest is sent.
            client.sendall(head[len(head) // 2 :])
            time.sleep(0.05)
            client.shutdown(socket.SHUT_WR)
            assert client.recv(65_536).startswith(b"HTTP/1.1 431")
