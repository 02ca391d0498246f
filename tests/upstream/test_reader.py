import pytest

from mulberryhub.base.green import sleep, socket, spawn
from mulberryhub.upstream.reader import SocketReader


@pytest.fixture
def reader_and_peer():
    local, peer = socket.socketpair()
    reader = SocketReader(local, 200)
    yield reader, peer
    reader.close()
    peer.close()


def test_read_returns_data_sent_before_and_during_the_wait(reader_and_peer):
    reader, peer = reader_and_peer
    peer.sendall(b"a")
    assert reader.read() == b"a"
    spawn(peer.sendall, b"b")
    assert reader.read() == b"b"


def test_data_that_arrives_between_reads_is_kept(reader_and_peer):
    reader, peer = reader_and_peer
    peer.sendall(b"a")
    assert reader.read() == b"a"
    peer.sendall(b"b")
    sleep(0.05)
    peer.sendall(b"c")
    assert reader.read() == b"bc"


def test_read_times_out_without_data(reader_and_peer):
    reader, peer = reader_and_peer
    peer.sendall(b"a")
    assert reader.read() == b"a"
    with pytest.raises(TimeoutError):
        reader.read()


def test_read_returns_empty_bytes_at_the_end_of_the_stream(reader_and_peer):
    reader, peer = reader_and_peer
    peer.close()
    assert reader.read() == b""
