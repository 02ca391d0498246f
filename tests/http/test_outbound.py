import pytest

from benchmarks.ports import free_address
from mulberryhub.base.clock import Clock
from mulberryhub.base.green import sleep
from mulberryhub.http.messages import (
    AnswerBroken,
    AnswerCut,
    AnswerTimeout,
    ConnectFailed,
    Headers,
    Request,
)
from mulberryhub.http.outbound import OutboundConnection
from mulberryhub.http.pool import Pool
from mulberryhub.http.sockets import reset
from tests.http.support import ScriptedPeer

TIMEOUT = 1_000  # ms


def make_request(body=b""):
    headers = Headers.from_pairs(
        [(b"Host", b"x"), (b"Content-Length", b"%d" % len(body))]
    )
    return Request(b"POST", b"/a", headers, body)


def answering(*answers, close=True):
    def script(sock, peer):
        for answer in answers:
            peer.read_head(sock)
            sock.sendall(answer)
        if close:
            sock.close()

    return script


def ask(peer, request=None):
    connection = OutboundConnection.open(peer.address, TIMEOUT, Clock())
    connection.send(request or make_request(), TIMEOUT)
    head = connection.read_head(TIMEOUT)
    body = b""
    while (data := connection.read_data(TIMEOUT)) is not None:
        body += data
    return connection, head, body


def test_answer_with_length_leaves_a_reusable_connection():
    peer = ScriptedPeer(
        answering(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", close=False)
    )
    connection, head, body = ask(peer)
    assert (head.status, body) == (200, b"ok")
    assert connection.release(0)


def test_answer_without_length_ends_with_its_connection():
    peer = ScriptedPeer(answering(b"HTTP/1.1 200 OK\r\n\r\nwhole"))
    connection, head, body = ask(peer)
    assert body == b"whole"
    assert not head.is_framed
    assert not connection.release(0)


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"no answer at all\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"",
    ],
)
def test_torn_answers_are_broken(answer):
    peer = ScriptedPeer(answering(answer))
    with pytest.raises(AnswerBroken):
        ask(peer)


def test_an_answer_without_length_that_is_reset_is_broken():
    def script(sock, peer):
        peer.read_head(sock)
        sock.sendall(b"HTTP/1.1 200 OK\r\n\r\nnot who")
        sleep(0.02)
        reset(sock)

    with pytest.raises(AnswerBroken):
        ask(ScriptedPeer(script))


@pytest.mark.parametrize(
    "answer, ends, is_cut",
    [
        (b"", True, True),
        (b"HTTP/1.1 200 OK\r\nContent-Le", True, True),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", True, True),
        (b"no answer at all\r\n\r\n", False, False),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", False, False),
    ],
)
@pytest.mark.parametrize("end", [reset, lambda sock: sock.close()])
def test_answers_that_the_peer_cuts_are_told_from_other_bytes(
    answer, ends, is_cut, end
):
    def script(sock, peer):
        peer.read_head(sock)
        sock.sendall(answer)
        sleep(0.02)
        if ends:
            end(sock)
        sleep(1)

    with pytest.raises(AnswerBroken) as broken:
        ask(ScriptedPeer(script))
    assert isinstance(broken.value, AnswerCut) == is_cut


def test_extra_bytes_after_an_answer_end_the_connection():
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    peer = ScriptedPeer(answering(answer + answer, close=False))
    connection, _, _ = ask(peer)
    assert not connection.release(0)


def test_stray_answer_is_skipped():
    stray = b"HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 3\r\n\r\nold"
    mine = b"HTTP/1.1 200 OK\r\nX-Id: new\r\nContent-Length: 3\r\n\r\nnew"
    peer = ScriptedPeer(answering(stray + mine, close=False))
    connection = OutboundConnection.open(peer.address, TIMEOUT, Clock())
    request = make_request()
    connection.send(request, TIMEOUT)
    assert connection.read_head(TIMEOUT).headers.get(b"x-id") == b"old"
    connection.skip_answer(request, TIMEOUT)
    assert connection.read_head(TIMEOUT).headers.get(b"x-id") == b"new"
    assert connection.read_data(TIMEOUT) == b"new"


def test_silence_is_a_timeout():
    peer = ScriptedPeer(lambda sock, peer: sleep(5))
    connection = OutboundConnection.open(peer.address, TIMEOUT, Clock())
    connection.send(make_request(), TIMEOUT)
    with pytest.raises(AnswerTimeout):
        connection.read_head(50)


def test_nobody_listening_is_a_failed_connect():
    with pytest.raises(ConnectFailed):
        OutboundConnection.open(free_address(), TIMEOUT, Clock())


def test_answer_before_a_long_body_is_read_leaves_no_reusable_connection():
    def script(sock, peer):
        sock.recv(100)
        sock.sendall(b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n")
        sleep(5)

    peer = ScriptedPeer(script)
    connection, head, _ = ask(peer, make_request(b"x" * 8_000_000))
    assert head.status == 503
    assert not connection.release(0)


def test_pool_reuses_quiet_connections_only():
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

    def then_stray(sock, peer):
        peer.read_head(sock)
        sock.sendall(answer)
        sleep(0.05)
        sock.sendall(answer)
        sleep(5)

    peer = ScriptedPeer(then_stray)
    pool = Pool(Clock())
    connection = pool.open(peer.address, TIMEOUT)
    connection.send(make_request(), TIMEOUT)
    connection.read_head(TIMEOUT)
    assert connection.read_data(TIMEOUT) is None
    pool.give_back(connection)
    assert pool.take_idle(peer.address) is connection
    pool.give_back(connection)
    sleep(0.1)
    assert pool.take_idle(peer.address) is None
