"""The client of the store on connections that fell silent."""

from contextlib import contextmanager

import pytest

from mulberryhub.adapter.store import CALL_TIMEOUT, StoreClient
from mulberryhub.base.clock import Clock
from mulberryhub.base.green import listen, sleep, spawn
from mulberryhub.fleet.beliefs import Topic
from mulberryhub.fleet.store import StoreUnavailable

EMPTY = bytes(16)  # the end and the first offset of an empty topic
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(EMPTY) + EMPTY


class SilencingStore:
    """Answers reads, but none on connections made before `silence()`."""

    def __init__(self):
        self._listener = listen(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._era = 0
        spawn(self._accept)

    def silence(self):
        self._era += 1

    def close(self):
        self._listener.close()

    def _accept(self):
        while True:
            sock, _ = self._listener.accept()
            spawn(self._serve, sock, self._era)

    def _serve(self, sock, era):
        while sock.recv(65_536):
            sleep(0.05)
            if era == self._era:
                sock.sendall(ANSWER)


@contextmanager
def silencing_store():
    store = SilencingStore()
    try:
        yield store
    finally:
        store.close()


def test_one_call_without_an_answer_suffices_where_all_connections_are_silent():
    with silencing_store() as store:
        client = StoreClient(store.address)
        topics = list(Topic)
        reads = [spawn(client.read, topic, 0, 0) for topic in topics]
        for read in reads:
            read.wait()
        store.silence()
        with pytest.raises(StoreUnavailable):
            client.read(Topic.OPERATOR, 0, 0)
        began = Clock().now()
        for topic in topics:
            client.read(topic, 0, 0)
        assert Clock().now() - began < CALL_TIMEOUT
