"""Stand-in of the platform's log: streams with offsets, retention and faults.

Faults: `outage` (no request is served), `delay` (ms before each answer),
`lose_answers` (how many appends take effect but are answered with an error),
`refuse_appends` (reads work, appends do not), `retention` (records kept).
"""

import msgspec

from mulberryhub.base.clock import Clock
from mulberryhub.standins.server import Answer, Faults, make_app, pause, run_standin

POLL = 10  # ms


class Stream:
    """The records of one stream in memory."""

    __slots__ = ("records", "oldest")

    def __init__(self):
        self.records = []
        self.oldest = 0

    @property
    def end(self):
        """Return the offset of the next append."""
        return self.oldest + len(self.records)

    def append(self, payloads, time):
        """Append `payloads` and return their offsets."""
        first = self.end
        for index, payload in enumerate(payloads):
            self.records.append(
                {"offset": first + index, "time": time, "payload": payload}
            )
        return list(range(first, self.end))

    def trim(self, retention):
        """Drop all but the last `retention` records."""
        excess = max(0, len(self.records) - retention)
        del self.records[:excess]
        self.oldest += excess

    def read(self, start, limit):
        """Return up to `limit` records from `start`."""
        index = start - self.oldest
        return self.records[index : index + limit]


class LogStandin:
    """The log service's HTTP interface."""

    __slots__ = ("faults", "streams_by_name", "clock")

    def __init__(self, clock=None):
        self.faults = Faults()
        self.streams_by_name = {}
        self.clock = clock or Clock()

    def handle(self, request):
        """Serve one request."""
        pause(self.faults.get("delay", 0))
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
        if self.faults.take("lose_answers"):
            return Answer({"error": "answer lost"}, status=503)
        return Answer({"offsets": offsets})

    def _read(self, stream, request):
        start = int(request.query["start"])
        if start < stream.oldest:
            return Answer({"oldest": stream.oldest}, status=410)
        deadline = self.clock.now() + int(request.query.get("wait", 0))
        while start >= stream.end and self.clock.now() < deadline:
            pause(POLL)
        if self.faults.get("outage"):
            return Answer({"error": "outage"}, status=503)
        records = stream.read(start, int(request.query.get("limit", 500)))
        return Answer({"records": records, "oldest": stream.oldest, "end": stream.end})


def make_log():
    """Return the WSGI application of a new log."""
    standin = LogStandin()
    return make_app(standin.handle, standin.faults)


if __name__ == "__main__":
    run_standin(make_log())
