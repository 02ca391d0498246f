"""Malformed requests get a client error and leave the router serving."""

import socket
import time

import pytest

from benchmarks.demo import apply_inventory, wait_until_ready
from benchmarks.topology import CALLER_KEYS_BY_WORKSPACE, LocalFleet

KEY = CALLER_KEYS_BY_WORKSPACE["hotels"].encode()
PATH = b"/v1/chat/completions"
SOCKET_TIMEOUT_S = 30.0


@pytest.fixture(scope="module")
def router():
    with LocalFleet(routers=1, engines=1, services=False) as local_fleet:
        router = local_fleet.routers_by_id["vm-1"]
        apply_inventory(router, local_fleet.inventory())
        wait_until_ready([router])
        yield router


def send_raw(router, data):
    host, port = router.address.split(":")
    with socket.create_connection((host, int(port)), SOCKET_TIMEOUT_S) as connection:
        connection.sendall(data)
        connection.shutdown(socket.SHUT_WR)
        response = b""
        while chunk := connection.recv(65_536):
            response += chunk
    return response


def build_request(headers, body=b""):
    header_lines = [b"POST " + PATH + b" HTTP/1.1", b"Host: x", b"Connection: close"]
    return b"\r\n".join([*header_lines, *headers, b"", body])


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
    response = send_raw(router, build_request(headers, body))
    assert response.split(b" ")[1] == status
    assert code is None or b'"code":"' + code + b'"' in response
    assert KEY not in response
    assert router.request("GET", "/healthz").status == 200


def test_conflicting_lengths_end_the_connection(router):
    lengths = [b"Content-Length: 0", b"Content-Length: 34"]
    header_lines = [
        b"POST " + PATH + b" HTTP/1.1",
        b"Host: x",
        AUTHORIZED,
        *lengths,
        b"",
        b"",
    ]
    smuggled = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
    response = send_raw(router, b"\r\n".join(header_lines) + smuggled)
    assert response.startswith(b"HTTP/1.1 400")
    assert response.count(b"HTTP/1.1") == 1


def test_garbage_closes_only_its_own_connection(router):
    send_raw(router, b"\x00\xff garbage\r\n\r\n")
    assert router.request("GET", "/healthz").status == 200
    assert KEY.decode() not in router.read_stderr()
    assert "Traceback" not in router.read_stderr()


def test_client_that_is_still_sending_receives_the_refusal(router):
    header_lines = [b"X-%d: y" % index for index in range(9_000)]
    request_bytes = build_request(header_lines)
    host, port = router.address.split(":")
    for _ in range(10):
        with socket.create_connection((host, int(port)), SOCKET_TIMEOUT_S) as client:
            client.sendall(request_bytes[: len(request_bytes) // 2])
            time.sleep(0.05)  # Lets the router refuse before the rest is sent.
            client.sendall(request_bytes[len(request_bytes) // 2 :])
            time.sleep(0.05)
            client.shutdown(socket.SHUT_WR)
            assert client.recv(65_536).startswith(b"HTTP/1.1 431")
