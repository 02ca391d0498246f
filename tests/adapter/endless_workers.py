"""Workers whose responses never end, and clients, each in a process of its own."""

import multiprocessing
import socket
import threading
import time

import msgspec

from mulberryhub.adapter_standins.documents import KEY, call_headers
from tests.adapter.raw_workers import HEAD, read_whole_request

PIECE_BYTES = 60_000
MAX_SENT_BYTES = 1_000_000_000  # on one connection, by default
CLIENT_PAUSE_S = 0.02
SLOW_READ_BYTES = 4_096
SLOW_READ_PAUSE_S = 0.1
READ_BYTES = 262_144
SOCKET_TIMEOUT_S = 10

SEALED = HEAD.format(worker="w").encode()
CHUNKED = SEALED + b"Transfer-Encoding: chunked\r\n\r\n"
EVENTS = (
    SEALED + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
LONG_CHUNK = b"8000\r\n%s\r\n" % (b"x" * 0x8000)

# Bytes that a worker sends once, and bytes that it repeats after them.
PATTERNS = {
    "status line": (b"HTTP/1.1 200 ", b"x"),
    "header fields": (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n"),
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "body to the close": (SEALED + b"\r\n", b"x"),
    "short chunks": (CHUNKED, b"1\r\nx\r\n"),
    "long chunks": (CHUNKED, LONG_CHUNK),
    "chunk extension": (CHUNKED + b"1;", b"x"),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"X-A: b\r\n"),
    "trailer line": (CHUNKED + b"1\r\nx\r\n0\r\nX-A: ", b"x"),
    "event line": (EVENTS, LONG_CHUNK),
    "event line in short chunks": (EVENTS, b"1\r\nx\r\n"),
    "event of many lines": (EVENTS, b"8\r\ndata: x\n\r\n"),
    "stray answers": (
        b"",
        b"HTTP/1.1 200 OK\r\nX-Mulberryhub-Attempt-Id: other\r\n"
        b"Content-Length: 1\r\n\r\nx",
    ),
}


class EndlessWorkers:
    """A process with `count` workers that answer each request with a pattern."""

    def __init__(self, pattern, count, pause=0, max_sent_bytes=MAX_SENT_BYTES):
        context = multiprocessing.get_context("spawn")
        pipe, child_pipe = context.Pipe()
        self._process = context.Process(
            target=_run_workers,
            args=(child_pipe, pattern, count, pause, max_sent_bytes),
            daemon=True,
        )
        self._process.start()
        self.addresses = pipe.recv()

    def register(self, platform, service, prefix="endless", **fields):
        """Write an entry for each worker to the store."""
        for number, address in enumerate(self.addresses):
            entry = {
                "service": service,
                "address": address,
                "zone": "a",
                "slots": 64,
                "state": "ready",
                "born": 1,
                "sequence": 1,
                "models": [],
                **fields,
            }
            body = msgspec.json.encode(entry)
            platform.store.request("POST", f"/worker/{prefix}-{number}", body=body)

    def close(self):
        """End the process."""
        self._process.kill()
        self._process.join()


class EndlessClients:
    """A process with `count` clients that send requests to `path` over and over."""

    def __init__(self, front, path, count, is_slow):
        context = multiprocessing.get_context("spawn")
        self._process = context.Process(
            target=_run_clients, args=(front, path, count, is_slow), daemon=True
        )
        self._process.start()

    def close(self):
        """End the process, which closes the connections of all clients."""
        self._process.kill()
        self._process.join()


def _run_workers(pipe, pattern, count, *options):
    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    for listener in listeners:
        threading.Thread(target=_accept, args=(listener, pattern, *options)).start()
    pipe.send([f"127.0.0.1:{listener.getsockname()[1]}" for listener in listeners])
    threading.Event().wait()


def _accept(listener, *options):
    while True:
        conn, _ = listener.accept()
        threading.Thread(
            target=_answer_without_end, args=(conn, *options), daemon=True
        ).start()


def _answer_without_end(conn, pattern, pause, max_sent_bytes):
    first, repeated = PATTERNS[pattern]
    piece = repeated
    if not pause:
        piece *= max(1, PIECE_BYTES // len(repeated))
    conn.settimeout(SOCKET_TIMEOUT_S)
    with conn:
        try:
            if read_whole_request(conn) is None:
                return
            conn.sendall(first)
            for _ in range(max_sent_bytes // PIECE_BYTES):
                conn.sendall(piece)
                time.sleep(pause)
        except OSError:
            return  # The router has closed the connection.


def _run_clients(front, path, count, is_slow):
    threads = [
        threading.Thread(target=_send_requests, args=(front, path, number, is_slow))
        for number in range(count)
    ]
    for thread in threads:
        thread.start()
        time.sleep(CLIENT_PAUSE_S)
    for thread in threads:
        thread.join()


def _send_requests(front, path, client, is_slow):
    host, port = front.split(":")
    number = 0
    while True:
        number += 1
        headers = call_headers(f"endless-{client}-{number}", KEY)
        fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        request = f"GET {path} HTTP/1.1\r\n{fields}Connection: close\r\n\r\n"
        try:
            with socket.create_connection((host, int(port)), SOCKET_TIMEOUT_S) as conn:
                conn.sendall(request.encode())
                while conn.recv(SLOW_READ_BYTES if is_slow else READ_BYTES):
                    time.sleep(SLOW_READ_PAUSE_S if is_slow else 0)
        except OSError:
            pass  # The router has broken the answer off.
        time.sleep(CLIENT_PAUSE_S)
