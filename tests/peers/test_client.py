from concurrent.futures import ThreadPoolExecutor

import grpc
import msgspec
import pytest

from mulberryhub.base.counters import Counters
from mulberryhub.base.green import GreenPool, sleep
from mulberryhub.peers.client import PeerClient, PeerUnavailable
from mulberryhub.peers.server import PeerServer
from mulberryhub.peers.transport import method_path

TIMEOUT_MS = 20_000


class Ping(msgspec.Struct):
    text: str
    pause: int = 0


class Pong(msgspec.Struct):
    text: str


class Number(msgspec.Struct):
    number: int


def echo(ping):
    if ping.pause:
        sleep(ping.pause / 1000)
    if ping.text == "fail":
        raise ValueError(ping.text)
    return Pong(ping.text)


@pytest.fixture
def server():
    server = PeerServer("127.0.0.1:0", "secret", Counters())
    server.register_handler("ping", Ping, echo)
    server.start()
    yield server
    server.stop(0)


@pytest.fixture
def client():
    client = PeerClient("secret")
    yield client
    client.close()


def failure_reason(client, address, method="ping", message=None, timeout=TIMEOUT_MS):
    with pytest.raises(PeerUnavailable) as raised:
        client.call(address, method, message or Ping("x"), Pong, timeout)
    return raised.value.reason


def test_call_returns_the_response(server, client):
    assert client.call(server.address, "ping", Ping("a"), Pong, TIMEOUT_MS).text == "a"


def test_concurrent_calls_get_their_own_responses(server, client):
    def call(number):
        ping = Ping(str(number), pause=(number * 7) % 5)
        return client.call(server.address, "ping", ping, Pong, TIMEOUT_MS).text

    texts = [str(number) for number in range(100)]
    assert list(GreenPool(20).imap(call, range(100))) == texts


def test_call_does_not_block_other_green_threads(server, client):
    pool = GreenPool()
    slow = pool.spawn(
        client.call, server.address, "ping", Ping("slow", 300), Pong, TIMEOUT_MS
    )
    fast = client.call(server.address, "ping", Ping("fast"), Pong, TIMEOUT_MS)
    assert (fast.text, slow.dead) == ("fast", False)
    assert slow.wait().text == "slow"


def test_call_succeeds_after_a_timeout(server, client):
    assert (
        failure_reason(client, server.address, message=Ping("a", 400), timeout=50)
        == "timeout"
    )
    assert client.call(server.address, "ping", Ping("b"), Pong, TIMEOUT_MS).text == "b"


def test_failures_raise_peer_unavailable_with_a_reason(server, client):
    assert failure_reason(client, server.address, message=Ping("fail")) == "failed"
    assert failure_reason(client, server.address, message=Number(1)) == "refused"
    assert failure_reason(client, server.address, method="other") == "refused"
    with pytest.raises(PeerUnavailable) as raised:
        client.call(server.address, "ping", Ping("x"), Number, TIMEOUT_MS)
    assert raised.value.reason == "malformed"


def test_wrong_peer_key_is_refused_and_counted(server, client):
    assert failure_reason(PeerClient("other"), server.address) == "refused"
    client.call(server.address, "ping", Ping("a"), Pong, TIMEOUT_MS)
    assert server._counters.by_name["refusal.peer_key"] == 1


def test_peer_key_is_not_sent_in_metadata(client):
    received = []

    class RecordingHandler(grpc.GenericRpcHandler):
        def service(self, details):
            received.append(repr(details))

    recorder = grpc.server(ThreadPoolExecutor(1), handlers=(RecordingHandler(),))
    port = recorder.add_insecure_port("127.0.0.1:0")
    recorder.start()
    assert failure_reason(client, f"127.0.0.1:{port}") == "refused"
    recorder.stop(0)
    assert method_path("ping") in received[0]
    assert "secret" not in received[0]


def test_call_succeeds_after_the_peer_restarts(client):
    first = PeerServer("127.0.0.1:0", "secret")
    first.register_handler("ping", Ping, echo)
    first.start()
    address = first.address
    client.call(address, "ping", Ping("a"), Pong, TIMEOUT_MS)
    first.stop(0)
    assert failure_reason(client, address, timeout=2_000) in ("connection", "timeout")
    second = PeerServer(address, "secret")
    second.register_handler("ping", Ping, echo)
    second.start()
    for _ in range(100):
        try:
            text = client.call(address, "ping", Ping("b"), Pong, 1_000).text
            break
        except PeerUnavailable:
            sleep(0.1)
    second.stop(0)
    assert text == "b"


def test_stop_waits_for_calls_in_progress(server, client):
    slow = GreenPool().spawn(
        client.call, server.address, "ping", Ping("slow", 300), Pong, TIMEOUT_MS
    )
    sleep(0.1)
    server.stop(TIMEOUT_MS)
    assert slow.wait().text == "slow"
