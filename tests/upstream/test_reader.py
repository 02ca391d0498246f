import pytest

from mulberryhub.base.green import sleep, socket, spawn
from mulberryhub.upstream.reader import SocketReader


@pytest.fixture
def pair():
    ours, theirs = socket.socketpair()
    reader = SocketReader(ours, 200)
    yield reader, theirs
    reader.close()
    theirs.close()


def test_reads_what_arrives_before_and_after_the_wait(pair):
    reader, theirs = pair
    theirs.sendall(b"a")
    assert reader.read() == b"a"
    spawn(theirs.sendall, b"b")
    assert reader.read() == b"b"


def test_data_that_nobody_waits_for_stays(pair):
    reader, theirs = pair
    theirs.sendall(b"a")
    assert reader.read() == b"a"
    theirs.sendall(b"b")
    sleep(0.05)
    theirs.sendall(b"c")
    assert reader.read() == b"bc"


def test_silence_ends_the_wait(pair):
    reader, theirs = pair
    theirs.sendall(b"a")
    assert reader.read() == b"a"
    with pytest.raises(TimeoutError):
        reader.read()


def test_end_of_the_connection(pair):
    reader, theirs = pair
    theirs.close()
    assert reader.read() == b""
