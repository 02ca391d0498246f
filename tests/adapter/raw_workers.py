"""Workers that write their answers byte by byte, as no web server would."""

import socket
import threading

import msgspec

HEAD = "HTTP/1.1 200 OK\r\nX-Mulberryhub-Response-Seal: {worker}\r\n"
ANSWER_TO = "X-Mulberryhub-Attempt-Id: {id}\r\n"


class RawWorker:
    """A worker of `service`; `answer(conn, request_id, worker)` writes its answers.

    `answer` tells whether the connection goes on. `runs` are the ids that arrived.
    """

    def __init__(self, platform, id, service, answer, **more):
        self.id = id
        self.runs = []
        self._answer = answer
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()
        entry = {
            "service": service,
            "address": self.address,
            "zone": "a",
            "slots": 8,
            "state": "ready",
            "born": 1,
            "sequence": 1,
            "models": [],
            **more,
        }
        self._write = lambda body: platform.store.request(
            "POST", f"/worker/{id}", body=body
        )
        self._write(msgspec.json.encode(entry))

    def close(self):
        """Leave the store and end to listen."""
        self._write(b"")
        self._listener.close()

    def head(self, id):
        """Return the first lines of a sealed answer to the request `id`."""
        return (HEAD.format(worker=self.id) + ANSWER_TO.format(id=id)).encode()

    def _accept(self):
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        conn.settimeout(20)
        with conn:
            goes_on = True
            while goes_on:
                try:
                    id = read_request(conn)
                    if id is None:
                        return
                    self.runs.append(id)
                    goes_on = self._answer(conn, id, self)
                except OSError:
                    return


class RawRequest(msgspec.Struct):
    """What a worker reads of a request: the id of its attempt or "", and its body."""

    id: str
    body: bytes


def read_request(conn):
    """Read one request and return the id of its attempt, or None at the end."""
    request = read_whole_request(conn)
    return None if request is None else request.id


def read_whole_request(conn):
    """Read one request and return it as RawRequest, or None at the end."""
    data = b""
    while b"\r\n\r\n" not in data:
        received = conn.recv(65_536)
        if not received:
            return None
        data += received
    head, _, body = data.partition(b"\r\n\r\n")
    fields = {}
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        fields[name.strip().lower()] = value.strip()
    while len(body) < int(fields.get(b"content-length", 0)):
        body += conn.recv(65_536)
    return RawRequest(fields.get(b"x-mulberryhub-attempt-id", b"").decode(), body)
