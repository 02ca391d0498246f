import pytest

from mulberryhub.base.green import Event, Timeout, listen, sleep, spawn_n
from mulberryhub.http.sockets import close, receive, reset
from tests.http.support import connect


def test_closing_wakes_a_reader_in_another_green_thread():
    listener = listen(("127.0.0.1", 0))
    host, port = listener.getsockname()
    sock = connect(f"{host}:{port}")
    sock.settimeout(None)
    ended = Event()
    spawn_n(lambda: ended.send(receive(sock)))
    sleep(0.02)
    close(sock)
    with Timeout(1):
        assert ended.wait() == b""
    listener.close()


def test_closing_twice_does_nothing_more():
    listener = listen(("127.0.0.1", 0))
    close(listener)
    close(listener)
    assert listener.fileno() < 0


def test_a_reset_is_told_from_an_end():
    listener = listen(("127.0.0.1", 0))
    host, port = listener.getsockname()
    for end, wait in ((reset, 0), (reset, 0.02), (close, 0), (close, 0.02)):
        sock = connect(f"{host}:{port}")
        other, _ = listener.accept()
        spawn_n(_end_after, end, other, wait)
        if end is reset:
            with pytest.raises(ConnectionResetError):
                receive(sock)
        else:
            assert receive(sock) == b""
    listener.close()


def _end_after(end, sock, wait):
    sleep(wait)
    end(sock)


def test_receiving_ends_in_time():
    listener = listen(("127.0.0.1", 0))
    host, port = listener.getsockname()
    sock = connect(f"{host}:{port}")
    sock.settimeout(0.05)
    with pytest.raises(TimeoutError):
        receive(sock)
    listener.close()
