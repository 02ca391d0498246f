"""Stand-in for the platform's log service: append-only streams with retention.

Faults: `outage` (each request is answered with 503), `delay` (ms before each answer),
`lose_answers` (number of appends that are stored but answered with an error),
`refuse_appends` (appends fail while reads succeed), `retention` (maximum number of
records per stream).
"""

import msgspec

from mulberryhub.base.clock import Clock
from mulberryhub.standins.server import Answer, Faults, make_app, run_standin, sleep_ms

POLL_INTERVAL_MS = 10


class Stream:
    """The records of one stream, held in memory.

    `oldest` is the offset of the first record that retention has not dropped.
    """

    __slots__ = ("records", "oldest")

    def __init__(self):
        self.records = []
        self.oldest = 0

    @property
    def end(self):
        """Return the offset that the next record gets."""
        return self.oldest + len(self.records)

    def append(self, payloads, time):
        """Append `payloads` with the timestamp `time` and return their offsets."""
        first = self.end
        for index, payload in enumerate(payloads):
            self.records.append(
                {"offset": first + index, "time": time, "payload": payload}
            )
        return list(range(first, self.end))

    def trim(self, retention):
        """Drop all records but the last `retention` ones."""
        excess = max(0, len(self.records) - retention)
        del self.records[:excess]
        self.oldest += excess

    def read(self, start, limit):
        """Return up to `limit` records from the offset `start` on."""
        index = start - self.oldest
        return self.records[index : index + limit]


class LogStandin:
    """The HTTP interface of the log service."""

    __slots__ = ("faults", "streams_by_name", "clock")

    def __init__(self, clock=None):
        self.faults = Faults()
        self.streams_by_name = {}
        self.clock = clock or Clock()

    def handle(self, request):
        """Return the Answer to one request."""
        sleep_ms(self.faults.get("delay", 0))
        if self.faults.get("outage"):
            return Answer({"error": "outage"}, status=503)
        name = request.path.split("/")[2]
        stream = self.streams_by_name.setdefault(name, Stream())
        if request.method == "POST":
            return self._append(stream, request)
        return self._read(stream, request)

    def _append(self, stream, request):
        if self.faults.get("refuse_appends"):
            return Answer({"error": "refused"}, status=503)
        payloads = msgspec.json.decode(request.body)["payloads"]
        offsets = stream.append(payloads, self.clock.wall())
        stream.trim(self.faults.get("retention", 1_000_000))
        if self.faults.consume("lose_answers"):
            return Answer({"error": "answer lost"}, status=503)
        return Answer({"offsets": offsets})

    def _read(self, stream, request):
        start = int(request.query["start"])
        if start < stream.oldest:
            return Answer({"oldest": stream.oldest}, status=410)
        deadline = self.clock.now() + int(request.query.get("wait", 0))
        while start >= stream.end and self.clock.now() < deadline:
            sleep_ms(POLL_INTERVAL_MS)
        if self.faults.get("outage"):
            return Answer({"error": "outage"}, status=503)
        records = stream.read(start, int(request.query.get("limit", 500)))
        return Answer({"records": records, "oldest": stream.oldest, "end": stream.end})


def make_log():
    """Return the WSGI application of a new, empty log."""
    standin = LogStandin()
    return make_app(standin.handle, standin.faults)


if __name__ == "__main__":
    run_standin(make_log())
