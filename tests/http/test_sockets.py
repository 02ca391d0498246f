import pytest

from mulberryhub.base.green import Event, Timeout, listen, sleep, spawn_n
from mulberryhub.http.sockets import close, receive, reset
from tests.http.support import connect


def test_close_wakes_a_reader_in_another_green_thread_with_an_error():
    # Guards against a response that looks complete as its own side closed the socket.
    listener = listen(("127.0.0.1", 0))
    host, port = listener.getsockname()
    sock = connect(f"{host}:{port}")
    sock.settimeout(None)
    received = Event()
    spawn_n(_send_outcome, received, sock)
    sleep(0.02)
    close(sock)
    with Timeout(1):
        assert isinstance(received.wait(), ConnectionAbortedError)
    listener.close()


def _send_outcome(received, sock):
    try:
        received.send(receive(sock))
    except OSError as error:
        received.send(error)


def test_second_close_has_no_effect():
    listener = listen(("127.0.0.1", 0))
    close(listener)
    close(listener)
    assert listener.fileno() < 0


def test_receive_distinguishes_a_reset_from_a_close():
    listener = listen(("127.0.0.1", 0))
    host, port = listener.getsockname()
    for end_connection, delay in ((reset, 0), (reset, 0.02), (close, 0), (close, 0.02)):
        sock = connect(f"{host}:{port}")
        peer, _ = listener.accept()
        spawn_n(_call_after, end_connection, peer, delay)
        if end_connection is reset:
            with pytest.raises(ConnectionResetError):
                receive(sock)
        else:
            assert receive(sock) == b""
    listener.close()


def _call_after(function, sock, delay):
    sleep(delay)
    function(sock)


def test_receive_times_out():
    listener = listen(("127.0.0.1", 0))
    host, port = listener.getsockname()
    sock = connect(f"{host}:{port}")
    with pytest.raises(TimeoutError):
        receive(sock, 0.05)
    listener.close()


def test_timeout_for_sending_does_not_end_a_receive():
    # Guards against idle connections that end by the timeout of what was sent.
    listener = listen(("127.0.0.1", 0))
    host, port = listener.getsockname()
    sock = connect(f"{host}:{port}")
    sock.settimeout(0.05)
    peer, _ = listener.accept()
    received = Event()
    spawn_n(lambda: received.send(receive(sock)))
    sleep(0.2)
    peer.sendall(b"x")
    with Timeout(1):
        assert received.wait() == b"x"
    listener.close()
