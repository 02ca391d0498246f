from contextlib import contextmanager

import pytest

from mulberryhub.base.green import listen, sleep, spawn_n
from mulberryhub.http.sockets import connect, receive
from soak.links import DELAY, Fault, Link


def echo(listener):
    while True:
        try:
            sock, _ = listener.accept()
        except (OSError, EOFError):
            return
        spawn_n(echo_one, sock)


def echo_one(sock):
    try:
        while data := sock.recv(100):
            sock.sendall(data)
    except OSError:
        pass  # The link was reset.


@contextmanager
def linked():
    listener = listen(("127.0.0.1", 0))
    spawn_n(echo, listener)
    link = Link(f"127.0.0.1:{listener.getsockname()[1]}")
    sock = connect(link.address, 1_000)
    sock.settimeout(DELAY * 4)
    try:
        sock.sendall(b"0")
        assert sock.recv(1) == b"0"
        yield link, sock
    finally:
        link.close()
        listener.close()


def test_a_link_passes_bytes_on_both_ways():
    with linked() as (_, sock):
        sock.sendall(b"hello")
        assert sock.recv(100) == b"hello"


@pytest.mark.parametrize("fault", [Fault.SILENT, Fault.CUT_THERE, Fault.CUT_BACK])
def test_held_bytes_arrive_once_the_fault_ends(fault):
    with linked() as (link, sock):
        link.set_fault(fault)
        sock.sendall(b"hello")
        with pytest.raises(TimeoutError):
            sock.recv(100)
        link.set_fault(Fault.NONE)
        assert sock.recv(100) == b"hello"


def test_a_delay_takes_its_time():
    with linked() as (link, sock):
        link.set_fault(Fault.DELAY)
        sock.sendall(b"hello")
        sock.settimeout(DELAY)
        with pytest.raises(TimeoutError):
            sock.recv(100)
        sock.settimeout(DELAY * 4)
        assert sock.recv(100) == b"hello"


def test_a_reset_strikes_open_connections_once():
    with linked() as (link, sock):
        link.set_fault(Fault.RESET)
        sleep(0)
        with pytest.raises(ConnectionResetError):
            receive(sock)
        other = connect(link.address, 1_000)
        other.sendall(b"hello")
        assert other.recv(100) == b"hello"
