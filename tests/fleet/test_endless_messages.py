"""Messages of other routers that never end."""

import time

import pytest

from mulberryhub.base.green import Timeout, sleep, socket, spawn
from mulberryhub.fleet import channel as channel_module
from mulberryhub.fleet.channel import (
    LENGTH_BYTES,
    MAX_MESSAGE_BYTES,
    Channel,
    ChannelError,
    ReportAck,
    encode,
)
from tests.fleet.test_exchange import Node, wait_until

CONNECTIONS = 12
MAX_FIRST_MESSAGE_BYTES = 65_536
SENT_BYTES = 8_000_000  # on each connection; together more than a process may hold
MAX_HELD_BYTES = 35_000_000  # half of what 150 MB leave beside the process
MAX_PAUSE_S = 0.5  # processor time
FLOOD_S = 1.5


def long_prefix():
    return MAX_MESSAGE_BYTES.to_bytes(LENGTH_BYTES)


def send_all(sock, data):
    try:
        sock.sendall(data)
    except OSError:
        return  # The receiver has closed the connection.


def held_bytes(channels):
    return sum(len(channel._buffer) for channel in channels)


def receive_until_failure(channel, errors):
    try:
        channel.receive()
    except ChannelError as error:
        errors.append(error)
        channel.close()
        channel._buffer.clear()


def test_incomplete_messages_of_many_connections_have_a_common_bound():
    # Guards against a process that ends for the memory of messages that never end.
    channels, errors, socks, most = [], [], [], 0
    for _ in range(CONNECTIONS):
        near, far = socket.socketpair()
        socks.append(far)
        channels.append(Channel(near))
        spawn(receive_until_failure, channels[-1], errors)
        spawn(send_all, far, long_prefix() + bytes(SENT_BYTES))
    ends_at = time.monotonic() + 2
    while time.monotonic() < ends_at:
        sleep(0.01)
        most = max(most, held_bytes(channels))
    for sock in socks:
        sock.close()
    assert most < MAX_HELD_BYTES
    assert errors


def test_message_that_comes_slowly_without_an_end_is_given_up(monkeypatch):
    # Guards against memory that is held for as long as bytes arrive.
    monkeypatch.setattr(channel_module, "MAX_MESSAGE_MS", 300, raising=False)
    near, far = socket.socketpair()
    far.sendall(long_prefix())

    def drip():
        for _ in range(60):
            sleep(0.05)
            send_all(far, b"x")

    spawn(drip)
    with Timeout(2), pytest.raises(ChannelError):
        Channel(near).receive(1_000)
    far.close()


def test_router_without_a_name_gets_no_long_message_through():
    # Guards against memory that any connection may take.
    node = Node("n1")
    host, port = node.member.address.rsplit(":", 1)
    with socket.create_connection((host, int(port))) as sock:
        sock.sendall((MAX_FIRST_MESSAGE_BYTES + 1).to_bytes(LENGTH_BYTES))
        with Timeout(2):
            assert sock.recv(1) == b""
    node.publisher.stop()


def test_silent_connection_to_the_publisher_is_closed():
    # Guards against connections that are held without an end.
    node = Node("n1")
    host, port = node.member.address.rsplit(":", 1)
    with socket.create_connection((host, int(port))) as sock, Timeout(3):
        assert sock.recv(1) == b""
    node.publisher.stop()


def test_endless_messages_let_other_green_threads_run():
    # Guards against requests that wait while messages arrive faster than they are read.
    near, far = socket.socketpair()
    data = encode(ReportAck(1)) * 20_000
    received = []

    def flood():
        ends_at = time.monotonic() + FLOOD_S
        while time.monotonic() < ends_at:
            send_all(far, data)
        far.close()

    def read():
        channel = Channel(near)
        try:
            while True:
                received.append(type(channel.receive()))
        except ChannelError:
            received.append(None)

    spawn(flood)
    spawn(read)
    last, pause = time.thread_time(), 0
    ends_at = time.monotonic() + FLOOD_S
    while time.monotonic() < ends_at:
        sleep(0.005)
        pause, last = max(pause, time.thread_time() - last), time.thread_time()
    with Timeout(10):
        wait_until(lambda: None in received)
    assert received[0] is ReportAck
    assert pause < MAX_PAUSE_S
