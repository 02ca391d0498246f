import pytest

from mulberryhub.base.green import Event, Timeout, sleep
from mulberryhub.http.inbound import MAX_HELD_BODY_BYTES
from mulberryhub.http.messages import (
    ClientDisconnected,
    Headers,
    HttpError,
    ServerEnding,
)
from tests.http.support import connect, read_all, running_server, send_and_read_all


def request_head(*lines):
    return b"\r\n".join([b"POST /a HTTP/1.1", b"Host: x", *lines, b"", b""])


@pytest.mark.parametrize(
    "data, status",
    [
        (request_head(b"Content-Length: 2", b"Content-Length: 5") + b"abcde", b"400"),
        (
            request_head(b"Content-Length: 2", b"Transfer-Encoding: chunked")
            + b"2\r\nab\r\n0\r\n\r\n",
            b"400",
        ),
        (request_head(b"Content-Length: -1"), b"400"),
        (request_head(b"Content-Length: x"), b"400"),
        (request_head(b"Transfer-Encoding: chunked") + b"zz\r\n", b"400"),
        (request_head(b"Bad Name: x"), b"400"),
        (request_head(b"X: " + b"a" * 2_100), b"431"),
        (request_head(b"X: " + b"a" * 9_000), b"431"),
        (request_head(b"Content-Length: 10001"), b"413"),
        (
            request_head(b"Transfer-Encoding: chunked") + b"2711\r\n" + b"a" * 10_001,
            b"413",
        ),
        (b"POST /a HTTP/1.1\r\nHost: x\r\nX: unfinished", b"408"),
        (b"\x00\xff garbage\r\n\r\n", b"400"),
    ],
)
def test_bad_request_gets_one_response_and_closes_the_connection(data, status):
    handled = []

    def handle(request, connection):
        handled.append(request)

    with running_server(handle) as server:
        response = send_and_read_all(server.address, data)
    assert response.split(b" ")[1] == status
    assert response.count(b"HTTP/1.1 ") == 1
    assert not handled


def test_connection_serves_several_requests():
    with running_server() as server:
        sock = connect(server.address)
        sock.sendall(request_head(b"Content-Length: 3") + b"one")
        assert sock.recv(65_536).endswith(b"POST /a one")
        sock.sendall(
            request_head(b"Transfer-Encoding: chunked") + b"3\r\ntwo\r\n0\r\n\r\n"
        )
        assert sock.recv(65_536).endswith(b"POST /a two")


def test_pipelined_requests_are_served_in_order():
    with running_server() as server:
        sock = connect(server.address)
        sock.sendall(
            b"".join(request_head(b"Content-Length: 1") + b"%d" % n for n in range(5))
        )
        sock.sendall(request_head(b"Connection: close", b"Content-Length: 0"))
        response = read_all(sock)
    positions = [response.index(b"POST /a %d" % n) for n in range(5)]
    assert positions == sorted(positions)


def test_handler_is_cancelled_when_the_client_disconnects():
    ended = Event()

    def handle(request, connection):
        try:
            sleep(10)
        except ClientDisconnected:
            ended.send(True)
            raise

    with running_server(handle) as server:
        sock = connect(server.address)
        sock.sendall(request_head(b"Content-Length: 0"))
        sleep(0.05)
        sock.close()
        with Timeout(1):
            assert ended.wait()
        sleep(0.01)
        assert server.active_request_count == 0


def test_response_without_a_length_is_chunked():
    def handle(request, connection):
        connection.start_response(200, Headers())
        connection.write(b"piece")
        return connection.finish_response()

    with running_server(handle) as server:
        response = send_and_read_all(server.address, request_head(b"Connection: close"))
    assert response.endswith(b"5\r\npiece\r\n0\r\n\r\n")


def http_1_0_head(*lines):
    return b"\r\n".join([b"POST /a HTTP/1.0", b"Host: x", *lines, b"", b""])


# The close of a killed router would be the end of a body that states none.
@pytest.mark.parametrize("pieces", [[], [b"piece"], [b"pie", b"ce"]])
def test_response_to_http_1_0_states_its_length(pieces):
    def handle(request, connection):
        connection.start_response(200, Headers())
        for piece in pieces:
            connection.write(piece)
        return connection.finish_response()

    with running_server(handle) as server:
        response = send_and_read_all(server.address, http_1_0_head())
    body = b"".join(pieces)
    assert response.endswith(b"\r\n\r\n" + body)
    assert b"Content-Length: %d\r\n" % len(body) in response
    assert b"Transfer-Encoding" not in response


def test_response_without_a_body_to_http_1_0_has_no_length():
    def handle(request, connection):
        connection.start_response(304, Headers())
        return connection.finish_response()

    with running_server(handle) as server:
        response = send_and_read_all(server.address, http_1_0_head())
    assert response.startswith(b"HTTP/1.1 304")
    assert b"Content-Length" not in response


# A part of a body must not look like the whole of it to a client without chunks.
@pytest.mark.parametrize("is_too_long", [False, True])
def test_broken_off_response_to_http_1_0_sends_nothing(is_too_long):
    def handle(request, connection):
        connection.start_response(200, Headers())
        connection.write(b"piece")
        if not is_too_long:
            raise HttpError("broken off")
        connection.write(b"x" * MAX_HELD_BODY_BYTES)

    with running_server(handle) as server:
        assert send_and_read_all(server.address, http_1_0_head()) == b""


def test_failed_handler_gives_an_error_response():
    def handle(request, connection):
        raise ZeroDivisionError

    with running_server(handle) as server:
        response = send_and_read_all(server.address, request_head())
    assert response.startswith(b"HTTP/1.1 500")


def test_handler_that_fails_within_a_response_leaves_it_incomplete():
    def handle(request, connection):
        connection.start_response(200, Headers())
        connection.write(b"piece")
        raise ZeroDivisionError

    with running_server(handle) as server:
        response = send_and_read_all(server.address, request_head())
    assert response.count(b"HTTP/1.1") <= 1
    assert not response.endswith(b"0\r\n\r\n")


def test_aborted_response_does_not_look_complete():
    def handle(request, connection):
        connection.start_response(200, Headers())
        connection.write(b"piece")
        connection.abort()
        return False

    with running_server(handle) as server:
        response = send_and_read_all(server.address, request_head())
    assert not response.endswith(b"0\r\n\r\n")


def test_drain_closes_idle_connections_and_completes_running_requests():
    may_respond = Event()

    def handle(request, connection):
        may_respond.wait()
        connection.start_response(200, Headers(), 0)
        return connection.finish_response()

    with running_server(handle) as server:
        idle = connect(server.address)
        busy = connect(server.address)
        busy.sendall(request_head())
        sleep(0.05)
        server.drain()
        server.close_idle()
        assert idle.recv(10) == b""
        may_respond.send()
        response = read_all(busy)
    assert response.startswith(b"HTTP/1.1 200")
    assert b"Connection: close" in response


def test_response_in_progress_announces_the_close_when_the_server_drains():
    may_respond = Event()

    def handle(request, connection):
        may_respond.wait()
        connection.start_response(200, Headers(), 0)
        return connection.finish_response()

    with running_server(handle) as server:
        client = connect(server.address)
        client.sendall(request_head(b"Content-Length: 0"))
        sleep(0.05)
        server.drain()
        may_respond.send()
        assert b"Connection: close" in read_all(client)


def test_begun_response_does_not_close_without_an_announcement():
    may_respond = Event()

    def handle(request, connection):
        connection.start_response(200, Headers(), 2)
        may_respond.wait()
        connection.write(b"ok")
        return connection.finish_response()

    with running_server(handle) as server:
        client = connect(server.address)
        client.sendall(request_head(b"Content-Length: 0"))
        sleep(0.05)
        server.drain()
        may_respond.send()
        client.sendall(request_head(b"Content-Length: 0"))
        responses = read_all(client)
    assert responses.count(b"HTTP/1.1 200") == 2
    assert responses.count(b"Connection: close") == 1


def test_connection_with_a_buffered_request_is_not_closed_as_idle():
    """A request may be in the receive buffer before the parser has seen it."""
    with running_server() as server:
        client = connect(server.address)
        sleep(0.05)
        connection = next(iter(server._connections))
        connection.receive_buffer._chunks.append(request_head(b"Content-Length: 0"))
        server.close_idle()
        assert not connection.closed
        client.close()


def test_unread_request_is_served_when_the_server_stops():
    """Closing a socket with unread bytes would reset it without a response."""
    with running_server() as server:
        client = connect(server.address)
        sleep(0.05)
        client.fd.sendall(request_head(b"Content-Length: 0"))
        late_client = connect(server.address)
        late_client.fd.sendall(request_head(b"Content-Length: 0"))
        server.drain()
        server.close_idle()
        server.stop_listening()
        assert read_all(client).startswith(b"HTTP/1.1 200")
        assert read_all(late_client).startswith(b"HTTP/1.1 200")


def test_running_requests_are_answered_when_the_server_ends():
    def handle(request, connection):
        try:
            sleep(10)
        except ServerEnding:
            connection.start_response(504, Headers(), 0)
            return connection.finish_response()

    with running_server(handle) as server:
        clients = [connect(server.address) for _ in range(3)]
        for client in clients:
            client.sendall(request_head(b"Content-Length: 0"))
        sleep(0.05)
        server.end_running()
        for client in clients:
            response = read_all(client)
            assert response.startswith(b"HTTP/1.1 504")
            assert b"Connection: close" in response
        assert server.active_request_count == 0


def test_begun_response_does_not_look_complete_when_the_server_ends():
    def handle(request, connection):
        connection.start_response(200, Headers())
        connection.write(b"piece")
        sleep(10)

    with running_server(handle) as server:
        client = connect(server.address)
        client.sendall(request_head(b"Content-Length: 0"))
        sleep(0.05)
        server.end_running()
        response = read_all(client)
    assert b"piece" in response
    assert not response.endswith(b"0\r\n\r\n")


def test_idle_connection_is_closed_after_the_idle_timeout():
    with running_server() as server:
        sock = connect(server.address)
        with Timeout(2):
            assert sock.recv(10) == b""
