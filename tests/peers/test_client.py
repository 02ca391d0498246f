from concurrent.futures import ThreadPoolExecutor

import grpc
import msgspec
import pytest

from mulberryhub.base.counters import Counters
from mulberryhub.base.green import GreenPool, sleep
from mulberryhub.peers.client import PeerClient, PeerUnavailable
from mulberryhub.peers.server import PeerServer
from mulberryhub.peers.transport import method_path

TIMEOUT = 20_000  # ms


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
    server.serve("ping", Ping, echo)
    server.start()
    yield server
    server.stop(0)


@pytest.fixture
def client():
    client = PeerClient("secret")
    yield client
    client.close()


def reason_of(client, address, method="ping", message=None, timeout=TIMEOUT):
    with pytest.raises(PeerUnavailable) as raised:
        client.call(address, method, message or Ping("x"), Pong, timeout)
    return raised.value.reason


def test_answer(server, client):
    assert client.call(server.address, "ping", Ping("a"), Pong, TIMEOUT).text == "a"


def test_answers_go_to_their_own_callers(server, client):
    def call(number):
        ping = Ping(str(number), pause=(number * 7) % 5)
        return client.call(server.address, "ping", ping, Pong, TIMEOUT).text

    texts = [str(number) for number in range(100)]
    assert list(GreenPool(20).imap(call, range(100))) == texts


def test_other_green_threads_run_during_a_call(server, client):
    pool = GreenPool()
    slow = pool.spawn(
        client.call, server.address, "ping", Ping("slow", 300), Pong, TIMEOUT
    )
    fast = client.call(server.address, "ping", Ping("fast"), Pong, TIMEOUT)
    assert (fast.text, slow.dead) == ("fast", False)
    assert slow.wait().text == "slow"


def test_timeout_then_a_new_connection(server, client):
    assert reason_of(client, server.address, message=Ping("a", 400), timeout=50) == (
        "timeout"
    )
    assert client.call(server.address, "ping", Ping("b"), Pong, TIMEOUT).text == "b"


def test_failures(server, client):
    assert reason_of(client, server.address, message=Ping("fail")) == "failed"
    assert reason_of(client, server.address, message=Number(1)) == "refused"
    assert reason_of(client, server.address, method="other") == "refused"
    with pytest.raises(PeerUnavailable) as raised:
        client.call(server.address, "ping", Ping("x"), Number, TIMEOUT)
    assert raised.value.reason == "malformed"


def test_wrong_key_is_refused_and_counted(server, client):
    assert reason_of(PeerClient("other"), server.address) == "refused"
    client.call(server.address, "ping", Ping("a"), Pong, TIMEOUT)
    assert server._counters.by_name["refusal.peer_key"] == 1


def test_secret_is_not_sent(client):
    received = []

    class Spy(grpc.GenericRpcHandler):
        def service(self, details):
            received.append(repr(details))

    spy = grpc.server(ThreadPoolExecutor(1), handlers=(Spy(),))
    port = spy.add_insecure_port("127.0.0.1:0")
    spy.start()
    assert reason_of(client, f"127.0.0.1:{port}") == "refused"
    spy.stop(0)
    assert method_path("ping") in received[0]
    assert "secret" not in received[0]


def test_peer_stops_and_comes_back(client):
    first = PeerServer("127.0.0.1:0", "secret")
    first.serve("ping", Ping, echo)
    first.start()
    address = first.address
    client.call(address, "ping", Ping("a"), Pong, TIMEOUT)
    first.stop(0)
    assert reason_of(client, address, timeout=2_000) in ("connection", "timeout")
    second = PeerServer(address, "secret")
    second.serve("ping", Ping, echo)
    second.start()
    for _ in range(100):
        try:
            text = client.call(address, "ping", Ping("b"), Pong, 1_000).text
            break
        except PeerUnavailable:
            sleep(0.1)
    second.stop(0)
    assert text == "b"


def test_stop_lets_a_call_end(server, client):
    slow = GreenPool().spawn(
        client.call, server.address, "ping", Ping("slow", 300), Pong, TIMEOUT
    )
    sleep(0.1)
    server.stop(TIMEOUT)
    assert slow.wait().text == "slow"
