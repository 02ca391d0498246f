import time

import pytest

from benchmarks.ports import free_address
from mulberryhub.base.clock import Clock
from mulberryhub.base.green import sleep
from mulberryhub.http.messages import (
    ConnectionFailed,
    Headers,
    Request,
    ResponseBroken,
    ResponseTimeout,
    ResponseTruncated,
)
from mulberryhub.http.outbound import OutboundConnection
from mulberryhub.http.pool import ConnectionPool
from mulberryhub.http.sockets import reset
from tests.adapter.odd_entries import ODD_ADDRESSES_BY_NAME
from tests.http.support import ScriptedUpstream

TIMEOUT_MS = 1_000
SHORT_TIMEOUT_MS = 50
PAUSE_S = 0.2  # of the whole process, longer than the short timeout


def make_request(body=b""):
    headers = Headers.from_pairs(
        [(b"Host", b"x"), (b"Content-Length", b"%d" % len(body))]
    )
    return Request(b"POST", b"/a", headers, body)


def respond_with(*responses, close=True):
    def script(sock, upstream):
        for response in responses:
            upstream.read_head(sock)
            sock.sendall(response)
        if close:
            sock.close()

    return script


def send_and_read(upstream, request=None):
    connection = OutboundConnection.open(upstream.address, TIMEOUT_MS, Clock())
    connection.send(request or make_request(), TIMEOUT_MS)
    head = connection.read_head(TIMEOUT_MS)
    body = b""
    while (data := connection.read_data(TIMEOUT_MS)) is not None:
        body += data
    return connection, head, body


def test_connection_is_reusable_after_a_response_with_a_length():
    upstream = ScriptedUpstream(
        respond_with(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", close=False)
    )
    connection, head, body = send_and_read(upstream)
    assert (head.status, body) == (200, b"ok")
    assert connection.prepare_for_reuse(0)


def test_response_without_a_length_ends_with_its_connection():
    upstream = ScriptedUpstream(respond_with(b"HTTP/1.1 200 OK\r\n\r\nwhole"))
    connection, head, body = send_and_read(upstream)
    assert body == b"whole"
    assert not head.is_framed
    assert not connection.prepare_for_reuse(0)


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"no answer at all\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"",
    ],
)
def test_truncated_and_malformed_responses_are_broken(response):
    upstream = ScriptedUpstream(respond_with(response))
    with pytest.raises(ResponseBroken):
        send_and_read(upstream)


def test_response_without_a_length_is_broken_by_a_reset():
    def script(sock, upstream):
        upstream.read_head(sock)
        sock.sendall(b"HTTP/1.1 200 OK\r\n\r\nnot who")
        sleep(0.02)
        reset(sock)

    with pytest.raises(ResponseBroken):
        send_and_read(ScriptedUpstream(script))


@pytest.mark.parametrize(
    "response, closes, is_cut",
    [
        (b"", True, True),
        (b"HTTP/1.1 200 OK\r\nContent-Le", True, True),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", True, True),
        (b"no answer at all\r\n\r\n", False, False),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", False, False),
    ],
)
@pytest.mark.parametrize("close_socket", [reset, lambda sock: sock.close()])
def test_truncated_responses_are_distinguished_from_malformed_ones(
    response, closes, is_cut, close_socket
):
    def script(sock, upstream):
        upstream.read_head(sock)
        sock.sendall(response)
        sleep(0.02)
        if closes:
            close_socket(sock)
        sleep(1)

    with pytest.raises(ResponseBroken) as broken:
        send_and_read(ScriptedUpstream(script))
    assert isinstance(broken.value, ResponseTruncated) == is_cut


def test_connection_is_not_reusable_after_extra_bytes():
    response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    upstream = ScriptedUpstream(respond_with(response + response, close=False))
    connection, _, _ = send_and_read(upstream)
    assert not connection.prepare_for_reuse(0)


def test_response_to_another_request_is_skipped():
    other_response = b"HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 3\r\n\r\nold"
    own_response = b"HTTP/1.1 200 OK\r\nX-Id: new\r\nContent-Length: 3\r\n\r\nnew"
    upstream = ScriptedUpstream(
        respond_with(other_response + own_response, close=False)
    )
    connection = OutboundConnection.open(upstream.address, TIMEOUT_MS, Clock())
    request = make_request()
    connection.send(request, TIMEOUT_MS)
    assert connection.read_head(TIMEOUT_MS).headers.get(b"x-id") == b"old"
    connection.skip_response(request, TIMEOUT_MS)
    assert connection.read_head(TIMEOUT_MS).headers.get(b"x-id") == b"new"
    assert connection.read_data(TIMEOUT_MS) == b"new"


def test_missing_response_raises_a_timeout():
    upstream = ScriptedUpstream(lambda sock, upstream: sleep(5))
    connection = OutboundConnection.open(upstream.address, TIMEOUT_MS, Clock())
    connection.send(make_request(), TIMEOUT_MS)
    with pytest.raises(ResponseTimeout):
        connection.read_head(50)


def open_to_paused_process(end_exchange):
    """Return a connection whose peer answers a request by `end_exchange(sock)`.

    The whole process stands still then, so that the timeout passes before it looks for
    bytes again.
    """

    def answer_and_pause(sock, upstream):
        upstream.read_head(sock)
        end_exchange(sock)
        time.sleep(PAUSE_S)
        sleep(TIMEOUT_MS / 1000)  # keeps the connection open

    upstream = ScriptedUpstream(answer_and_pause)
    connection = OutboundConnection.open(upstream.address, TIMEOUT_MS, Clock())
    sleep(SHORT_TIMEOUT_MS / 1000)  # until the peer waits for the request
    connection.send(make_request(), TIMEOUT_MS)
    return connection


def test_response_that_came_while_the_process_stood_still_is_read():
    # Guards against sound upstreams that count as silent after a pause of the router.
    response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    connection = open_to_paused_process(lambda sock: sock.sendall(response))
    assert connection.read_head(SHORT_TIMEOUT_MS).status == 200
    assert connection.read_data(SHORT_TIMEOUT_MS) == b"ok"


def test_reset_that_came_while_the_process_stood_still_is_no_timeout():
    connection = open_to_paused_process(reset)
    with pytest.raises(ResponseTruncated):
        connection.read_head(SHORT_TIMEOUT_MS)


def test_missing_response_raises_a_timeout_after_the_process_stood_still():
    connection = open_to_paused_process(lambda sock: None)
    with pytest.raises(ResponseTimeout):
        connection.read_head(SHORT_TIMEOUT_MS)


def test_refused_connection_raises_connect_failed():
    with pytest.raises(ConnectionFailed):
        OutboundConnection.open(free_address(), TIMEOUT_MS, Clock())


def test_connection_is_not_reusable_while_the_request_is_still_being_sent():
    def script(sock, upstream):
        sock.recv(100)
        sock.sendall(b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n")
        sleep(5)

    upstream = ScriptedUpstream(script)
    connection, head, _ = send_and_read(upstream, make_request(b"x" * 8_000_000))
    assert head.status == 503
    assert not connection.prepare_for_reuse(0)


def test_pool_drops_connections_with_unexpected_bytes():
    response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

    def respond_twice(sock, upstream):
        upstream.read_head(sock)
        sock.sendall(response)
        sleep(0.05)
        sock.sendall(response)
        sleep(5)

    upstream = ScriptedUpstream(respond_twice)
    pool = ConnectionPool(Clock())
    connection = pool.open(upstream.address, TIMEOUT_MS)
    connection.send(make_request(), TIMEOUT_MS)
    connection.read_head(TIMEOUT_MS)
    assert connection.read_data(TIMEOUT_MS) is None
    pool.release(connection)
    assert pool.take_idle(upstream.address) is connection
    pool.release(connection)
    sleep(0.1)
    assert pool.take_idle(upstream.address) is None


@pytest.mark.parametrize("name", ODD_ADDRESSES_BY_NAME)
def test_connection_to_address_that_cannot_be_parsed_fails_as_any_other(name):
    with pytest.raises(ConnectionFailed):
        OutboundConnection.open(ODD_ADDRESSES_BY_NAME[name], TIMEOUT_MS, Clock())


@pytest.mark.parametrize("digits", [400, 5_000])
def test_keep_alive_timeout_out_of_range_is_ignored(digits):
    response = (
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout="
        + b"9" * digits
        + b"\r\n\r\nok"
    )
    upstream = ScriptedUpstream(respond_with(response, response))
    pool = ConnectionPool(Clock())
    connection = pool.open(upstream.address, TIMEOUT_MS)
    connection.send(make_request(), TIMEOUT_MS)
    assert connection.read_head(TIMEOUT_MS).status == 200
    assert connection.read_data(TIMEOUT_MS) == b"ok"
    assert connection.read_data(TIMEOUT_MS) is None
    pool.release(connection)
    assert pool.take_idle(upstream.address) is connection
