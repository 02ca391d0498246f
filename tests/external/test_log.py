import pytest

from mulberryhub.base.green import listen, spawn
from mulberryhub.external.log import LogClient, LogUnavailable, OffsetExpired


@pytest.fixture
def log(fleet):
    return fleet.start("mulberryhub.standins.log")


def test_appended_records_can_be_read(log):
    client = LogClient(log.address)
    assert client.append("a", [b"x", b"y"]) == [0, 1]
    page = client.read("a", 0)
    assert [record.payload for record in page.records] == [b"x", b"y"]
    assert (page.oldest, page.end) == (0, 2)


def test_streams_are_independent(log):
    client = LogClient(log.address)
    client.append("a", [b"x"])
    assert client.read("b", 0).records == []


def test_append_takes_effect_if_its_response_is_lost(log):
    client = LogClient(log.address)
    log.set_faults(lose_answers=1)
    with pytest.raises(LogUnavailable):
        client.append("a", [b"x"])
    assert client.read("a", 0).end == 1


def test_read_of_an_expired_offset_gives_the_oldest_offset(log):
    client = LogClient(log.address)
    log.set_faults(retention=1)
    client.append("a", [b"x", b"y"])
    with pytest.raises(OffsetExpired) as raised:
        client.read("a", 0)
    assert raised.value.oldest == 1


def test_read_fails_during_an_outage(log):
    client = LogClient(log.address)
    log.set_faults(outage=True)
    with pytest.raises(LogUnavailable):
        client.read("a", 0)


@pytest.mark.parametrize("status", [b"200 OK", b"410 Gone"])
def test_malformed_response_raises_log_unavailable(status):
    listener = listen(("127.0.0.1", 0))

    def send_truncated_response():
        sock, _ = listener.accept()
        sock.recv(65_536)
        sock.sendall(b"HTTP/1.1 " + status + b'\r\nContent-Length: 4\r\n\r\n{"of')
        sock.close()

    spawn(send_truncated_response)
    client = LogClient(f"127.0.0.1:{listener.getsockname()[1]}")
    with pytest.raises(LogUnavailable):
        client.read("a", 0)
    listener.close()
