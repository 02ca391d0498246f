import pytest

from mulberryhub.base.green import Event, Timeout, sleep
from mulberryhub.http.messages import ClientGone, Headers
from tests.http.support import connect, exchange, read_all, serving


def head(*lines):
    return b"\r\n".join([b"POST /a HTTP/1.1", b"Host: x", *lines, b"", b""])


@pytest.mark.parametrize(
    "data, status",
    [
        (head(b"Content-Length: 2", b"Content-Length: 5") + b"abcde", b"400"),
        (
            head(b"Content-Length: 2", b"Transfer-Encoding: chunked")
            + b"2\r\nab\r\n0\r\n\r\n",
            b"400",
        ),
        (head(b"Content-Length: -1"), b"400"),
        (head(b"Content-Length: x"), b"400"),
        (head(b"Transfer-Encoding: chunked") + b"zz\r\n", b"400"),
        (head(b"Bad Name: x"), b"400"),
        (head(b"X: " + b"a" * 2_100), b"431"),
        (head(b"X: " + b"a" * 9_000), b"431"),
        (head(b"Content-Length: 10001"), b"413"),
        (head(b"Transfer-Encoding: chunked") + b"2711\r\n" + b"a" * 10_001, b"413"),
        (b"POST /a HTTP/1.1\r\nHost: x\r\nX: unfinished", b"408"),
        (b"\x00\xff garbage\r\n\r\n", b"400"),
    ],
)
def test_bad_requests_get_one_answer_and_the_connection_ends(data, status):
    handled = []

    def handle(request, connection):
        handled.append(request)

    with serving(handle) as server:
        answer = exchange(server.address, data)
    assert answer.split(b" ")[1] == status
    assert answer.count(b"HTTP/1.1 ") == 1
    assert not handled


def test_requests_follow_one_another_on_a_connection():
    with serving() as server:
        sock = connect(server.address)
        sock.sendall(head(b"Content-Length: 3") + b"one")
        assert sock.recv(65_536).endswith(b"POST /a one")
        sock.sendall(head(b"Transfer-Encoding: chunked") + b"3\r\ntwo\r\n0\r\n\r\n")
        assert sock.recv(65_536).endswith(b"POST /a two")


def test_pipelined_requests_are_answered_in_order():
    with serving() as server:
        sock = connect(server.address)
        sock.sendall(b"".join(head(b"Content-Length: 1") + b"%d" % n for n in range(5)))
        sock.sendall(head(b"Connection: close", b"Content-Length: 0"))
        answer = read_all(sock)
    places = [answer.index(b"POST /a %d" % n) for n in range(5)]
    assert places == sorted(places)


def test_handler_ends_when_its_client_leaves():
    ended = Event()

    def handle(request, connection):
        try:
            sleep(10)
        except ClientGone:
            ended.send(True)
            raise

    with serving(handle) as server:
        sock = connect(server.address)
        sock.sendall(head(b"Content-Length: 0"))
        sleep(0.05)
        sock.close()
        with Timeout(1):
            assert ended.wait()
        sleep(0.01)
        assert server.busy == 0


def test_answer_without_length_is_sent_in_chunks():
    def handle(request, connection):
        connection.start_answer(200, Headers())
        connection.write(b"piece")
        return connection.finish_answer()

    with serving(handle) as server:
        answer = exchange(server.address, head(b"Connection: close"))
    assert answer.endswith(b"5\r\npiece\r\n0\r\n\r\n")


def test_answer_that_is_not_framed_ends_with_the_connection():
    def handle(request, connection):
        connection.start_answer(200, Headers(), 5, is_framed=False)
        connection.write(b"piece")
        return connection.finish_answer()

    with serving(handle) as server:
        answer = exchange(server.address, head())
    assert answer.endswith(b"\r\n\r\npiece")
    assert b"Content-Length" not in answer and b"chunked" not in answer
    assert b"Connection: close" in answer


def test_a_handler_that_fails_gives_an_answer():
    def handle(request, connection):
        raise ZeroDivisionError

    with serving(handle) as server:
        answer = exchange(server.address, head())
    assert answer.startswith(b"HTTP/1.1 500")


def test_a_handler_that_fails_midway_gives_no_whole_answer():
    def handle(request, connection):
        connection.start_answer(200, Headers())
        connection.write(b"piece")
        raise ZeroDivisionError

    with serving(handle) as server:
        answer = exchange(server.address, head())
    assert answer.count(b"HTTP/1.1") <= 1
    assert not answer.endswith(b"0\r\n\r\n")


def test_aborted_answer_does_not_look_complete():
    def handle(request, connection):
        connection.start_answer(200, Headers())
        connection.write(b"piece")
        connection.abort()
        return False

    with serving(handle) as server:
        answer = exchange(server.address, head())
    assert not answer.endswith(b"0\r\n\r\n")


def test_stop_closes_idle_connections_and_finishes_running_requests():
    release = Event()

    def handle(request, connection):
        release.wait()
        connection.start_answer(200, Headers(), 0)
        return connection.finish_answer()

    with serving(handle) as server:
        idle = connect(server.address)
        busy = connect(server.address)
        busy.sendall(head())
        sleep(0.05)
        server.drain()
        server.close_idle()
        assert idle.recv(10) == b""
        release.send()
        answer = read_all(busy)
    assert answer.startswith(b"HTTP/1.1 200")
    assert b"Connection: close" in answer


def test_request_that_was_read_is_served_though_idle_connections_close():
    """A request in the inbox that the parser has not seen yet is no idle connection."""
    with serving() as server:
        client = connect(server.address)
        sleep(0.05)
        connection = next(iter(server._connections))
        connection.inbox._chunks.append(head(b"Content-Length: 0"))
        server.close_idle()
        assert not connection.closed
        client.close()


def test_a_request_that_nobody_has_read_yet_is_served_though_the_server_stops():
    """Closing a connection with unread bytes would reset it without an answer."""
    with serving() as server:
        client = connect(server.address)
        sleep(0.05)
        client.fd.sendall(head(b"Content-Length: 0"))
        late = connect(server.address)
        late.fd.sendall(head(b"Content-Length: 0"))
        server.drain()
        server.close_idle()
        server.stop_listening()
        assert read_all(client).startswith(b"HTTP/1.1 200")
        assert read_all(late).startswith(b"HTTP/1.1 200")


def test_idle_connection_closes_after_its_time():
    with serving() as server:
        sock = connect(server.address)
        with Timeout(2):
            assert sock.recv(10) == b""
