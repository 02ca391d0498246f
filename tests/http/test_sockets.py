from mulberryhub.base.green import Event, Timeout, listen, sleep, spawn_n
from mulberryhub.http.sockets import close, receive
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
