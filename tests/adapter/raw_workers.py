"""Stand-in workers on raw sockets, for responses that no web server would send."""

import socket
import threading

import msgspec

HEAD = "HTTP/1.1 200 OK\r\nX-Mulberryhub-Response-Seal: {worker}\r\n"
ATTEMPT_ID_LINE = "X-Mulberryhub-Attempt-Id: {id}\r\n"


class RawWorker:
    """A worker of `service` whose responses a function sends.

    `respond(conn, request_id, worker)` returns true if the connection can serve another
    request. `runs` lists the ids of the requests that arrived, and `requests_by_id` has
    the RawRequests. Other keyword arguments replace fields of the entry in the store.
    """

    def __init__(self, platform, id, service, respond, **entry_fields):
        self.id = id
        self.runs = []
        self.requests_by_id = {}
        self._conns = []
        self._respond = respond
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
            **entry_fields,
        }
        self._write = lambda body: platform.store.request(
            "POST", f"/worker/{id}", body=body
        )
        self._entry = entry
        self.write_again()

    def write_again(self, **entry_fields):
        """Write the entry to the store, with the next sequence number.

        `entry_fields` replace fields of it.
        """
        self._entry.update(entry_fields)
        self._write(msgspec.json.encode(self._entry))
        self._entry["sequence"] += 1

    def deregister(self):
        """Remove the entry from the store."""
        self._write(b"")

    def end(self):
        """Close the port and all connections, as the end of the process does."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for conn in self._conns:
            try:
                conn.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def start_again(self, **entry_fields):
        """Listen at the same address again after `end()`, with an entry of its own."""
        host, port = self.address.rsplit(":", 1)
        self._listener = socket.create_server((host, int(port)))
        threading.Thread(target=self._accept, daemon=True).start()
        self.write_again(**entry_fields)

    def close(self):
        """Remove the entry from the store and stop listening."""
        self.deregister()
        self._listener.close()

    def head(self, id):
        """Return the first lines of a sealed response to the request `id`."""
        return (HEAD.format(worker=self.id) + ATTEMPT_ID_LINE.format(id=id)).encode()

    def _accept(self):
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            self._conns.append(conn)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        conn.settimeout(20)
        with conn:
            is_reusable = True
            while is_reusable:
                try:
                    request = read_whole_request(conn)
                    if request is None:
                        return
                    self.requests_by_id[request.id] = request
                    self.runs.append(request.id)
                    is_reusable = self._respond(conn, request.id, self)
                except OSError:
                    return


class RawRequest(msgspec.Struct):
    """A request as received.

    `id` is that of the attempt, or "" without one. `parts` are the ids of the prompt's
    parts, and `last_event_id` is the one after which the answer continues. `resumes` is
    the id of the attempt that the client resumes, or "".
    """

    id: str
    body: bytes
    parts: list[str]
    last_event_id: int
    resumes: str = ""


def read_request(conn):
    """Read one request and return its attempt id, or None at the end of the stream."""
    request = read_whole_request(conn)
    return None if request is None else request.id


def read_whole_request(conn):
    """Read one request and return a RawRequest, or None at the end of the stream."""
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
    prefix = fields.get(b"x-mulberryhub-prompt-prefix", b"").decode()
    return RawRequest(
        fields.get(b"x-mulberryhub-attempt-id", b"").decode(),
        body,
        [part.partition(":")[0] for part in prefix.split(",")],
        int(fields.get(b"last-event-id", 0)),
        fields.get(b"resumes", b"").decode("latin-1"),
    )
