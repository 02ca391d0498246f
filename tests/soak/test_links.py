from contextlib import contextmanager

import pytest

from mulberryhub.base.green import listen, sleep, spawn_n
from mulberryhub.http.sockets import connect, receive
from soak.links import DELAY_S, Link, LinkFault


def serve_echo(listener):
    while True:
        try:
            sock, _ = listener.accept()
        except (OSError, EOFError):
            return
        spawn_n(echo_connection, sock)


def echo_connection(sock):
    try:
        while data := sock.recv(100):
            sock.sendall(data)
    except OSError:
        pass  # The link reset the connection.


@contextmanager
def open_link():
    listener = listen(("127.0.0.1", 0))
    spawn_n(serve_echo, listener)
    link = Link(f"127.0.0.1:{listener.getsockname()[1]}")
    sock = connect(link.address, 1_000)
    sock.settimeout(DELAY_S * 4)
    try:
        sock.sendall(b"0")
        assert sock.recv(1) == b"0"
        yield link, sock
    finally:
        link.close()
        listener.close()


def test_link_forwards_bytes_in_both_directions():
    with open_link() as (_, sock):
        sock.sendall(b"hello")
        assert sock.recv(100) == b"hello"


@pytest.mark.parametrize(
    "fault",
    [LinkFault.STALL, LinkFault.STALL_TO_SERVER, LinkFault.STALL_TO_CLIENT],
)
def test_stalled_bytes_arrive_once_fault_is_cleared(fault):
    with open_link() as (link, sock):
        link.set_fault(fault)
        sock.sendall(b"hello")
        with pytest.raises(TimeoutError):
            sock.recv(100)
        link.set_fault(LinkFault.NONE)
        assert sock.recv(100) == b"hello"


def test_delay_postpones_bytes():
    with open_link() as (link, sock):
        link.set_fault(LinkFault.DELAY)
        sock.sendall(b"hello")
        sock.settimeout(DELAY_S)
        with pytest.raises(TimeoutError):
            sock.recv(100)
        sock.settimeout(DELAY_S * 4)
        assert sock.recv(100) == b"hello"


def test_reset_closes_open_connections_but_not_later_ones():
    with open_link() as (link, sock):
        link.set_fault(LinkFault.RESET)
        sleep(0)
        with pytest.raises(ConnectionResetError):
            receive(sock)
        other = connect(link.address, 1_000)
        other.sendall(b"hello")
        assert other.recv(100) == b"hello"
