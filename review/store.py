"""Stand-in of the platform's store: topics, compacted listings, long polls."""

import asyncio
import json
from base64 import b64encode

from review.harness.http_server import respond, start_server

ANSWER_S = 0.004
LENGTH_BYTES = 4
OPERATOR_TOPIC = "keyed.op"
WORKERS_TOPIC = "keyed.servers"
PAGE_ITEMS = 500
READ_ONLY_TOPICS = (OPERATOR_TOPIC, WORKERS_TOPIC)


class TopicLog:
    """The records of a topic; all of them are kept for the time of a script."""

    def __init__(self):
        self.records = []
        self.appended = asyncio.Event()

    def append(self, records):
        """Append records and return the offset of the first."""
        offset = len(self.records)
        self.records.extend(records)
        appended, self.appended = self.appended, asyncio.Event()
        appended.set()
        return offset

    def newest_by_key(self):
        """Return (offset, value) of the newest record of each key that has a value."""
        newest = {}
        for offset, record in enumerate(self.records):
            end = 1 + record[0]
            newest[record[1:end].decode()] = (offset, record[end:])
        return {key: item for key, item in newest.items() if item[1]}


class Store:
    """The store; `mode_by_port` sets a fault for the calls to one of its ports.

    `mode` is "ok", or "silent" (no answer) for all callers.
    """

    def __init__(self):
        self.mode = "ok"
        self.address = None
        self._logs = {}
        self._server = None

    async def start(self, host="127.0.0.1", port=0):
        """Listen on a free port."""
        self._server = await start_server(host, port, self._handle)
        ip, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{ip}:{port}"

    def log(self, topic):
        """Return the log of a topic."""
        return self._logs.setdefault(topic, TopicLog())

    def write(self, topic, key, document):
        """Write a keyed record, as the operator or a worker does; None removes it."""
        value = b"" if document is None else json.dumps(document).encode()
        return self.log(topic).append([bytes([len(key)]) + key.encode() + value])

    async def _handle(self, request, writer):
        if self.mode == "silent":
            await asyncio.sleep(3_600)
        await asyncio.sleep(ANSWER_S)
        name = request.path.removeprefix("/api/")
        query = request.query
        headers = [("Content-Type", "application/json")]
        if name == "log-append":
            status, body = self._append(query, request.body)
        elif name == "log-read":
            status, body = await self._read(query)
        elif name == "log-newest":
            status, body = self._newest(query)
        else:
            status, body = 404, b"{}"
        if self.mode == "silent":
            await asyncio.sleep(3_600)
        respond(writer, status, body, headers)
        return True

    def _append(self, query, body):
        if query["topic"] in READ_ONLY_TOPICS:
            return 403, b"{}"
        log = self.log(query["topic"])
        end = len(log.records)
        if "at" in query and int(query["at"]) != end:
            return 412, json.dumps({"end": end}).encode()
        records = []
        while body:
            length = int.from_bytes(body[:LENGTH_BYTES])
            records.append(body[LENGTH_BYTES : LENGTH_BYTES + length])
            body = body[LENGTH_BYTES + length :]
        offset = log.append(records)
        answer = {"offset": offset, "end": len(log.records)}
        return 200, json.dumps(answer).encode()

    async def _read(self, query):
        log = self.log(query["topic"])
        start = int(query["from"])
        if start > len(log.records):
            return 410, json.dumps({"first": 0}).encode()
        wait_ms = int(query.get("waitMs", 0))
        if start == len(log.records) and wait_ms:
            try:
                await asyncio.wait_for(log.appended.wait(), wait_ms / 1000)
            except TimeoutError:
                pass
        data = len(log.records).to_bytes(8) + (0).to_bytes(8)
        for record in log.records[start:]:
            data += len(record).to_bytes(LENGTH_BYTES) + record
        return 200, data

    def _newest(self, query):
        log = self.log(query["topic"])
        after = query.get("after", "")
        newest = sorted(log.newest_by_key().items())
        rest = [item for item in newest if item[0] > after]
        items = [
            {"key": key, "offset": offset, "value": b64encode(value).decode()}
            for key, (offset, value) in rest[:PAGE_ITEMS]
        ]
        answer = {
            "items": items,
            "more": len(rest) > PAGE_ITEMS,
            "end": len(log.records),
        }
        return 200, json.dumps(answer).encode()
