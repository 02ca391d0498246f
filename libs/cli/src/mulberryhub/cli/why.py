"""The command `why`: reconstructs the path of a request from router logs."""

import sys
from pathlib import Path

import msgspec

from mulberryhub.cli.output import EXIT_OK, EXIT_REFUSED, write_json

OMITTED_FIELDS = ("time", "level", "module", "message", "request")
CAUSE_BY_OUTCOME = {
    "over_quota": "its workspace had used up its rate; see the preceding line",
    "unknown_key": "no workspace in the configuration in force has its key",
    "unknown_route": "no route in the configuration in force matches its host and path",
    "not_ready": "the router had no configuration yet",
    "no_upstream": "no listed upstream of its service had weights that it may use",
    "upstreams_full": "all upstreams were busy or refused it; it was not run",
    "stream_version_gone": "no upstream of the version that began its stream is ready",
    "stream_origin_unknown": "it is not known which version began its stream",
    "upstreams_limited": "all upstreams had named a rate limit that was used up",
    "quarantined": "upstreams ended while they ran it; this time it was not run",
    "stopping": "the router was stopping and had no time left for it; it was not run",
    "stopped": "the router stopped before its answer was complete",
    "out_of_time": "its deadline passed before it could be sent; it was not run",
    "upstream_failed": "an upstream that may have run it failed; see the attempts",
    "upstream_silent": "an upstream that may have run it did not answer in time",
    "client_gone": "the client closed the connection before the end of the answer",
    "broken_off": "its answer was interrupted and no other upstream could continue it",
}


class LogLine(msgspec.Struct):
    """A log line about the request.

    `details` has the fields that are not in OMITTED_FIELDS, as raw JSON.
    """

    time: str
    message: str
    router: str
    details: dict[str, msgspec.Raw]


class RequestTrace(msgspec.Struct):
    """The log lines of a request by time and the probable cause of its failure."""

    request: str
    lines: list[LogLine]
    cause: str


def why(request: str, *files: str, json: bool = False):
    """Print the way of a request through routers and why it was not served.

    :param request: id of the request
    :param files: files with log lines, one for each router; none: standard input
    :param json: print JSON
    """
    trace = trace_request(request, files)
    if not trace.lines:
        print(f"no log line found for request {request}", file=sys.stderr)
        return EXIT_REFUSED
    if json:
        write_json(trace)
        return EXIT_OK
    for line in trace.lines:
        details = " ".join(
            f"{name}={bytes(raw).decode()}" for name, raw in line.details.items()
        )
        print(f"{line.time} {line.router}: {line.message} {details}")
    print(f"cause: {trace.cause}")
    return EXIT_OK


def trace_request(request, files):
    """Return the RequestTrace of the request id `request`.

    Reads the log files named by `files`, or standard input if there are none.
    """
    lines = []
    if not files:
        lines += _matching_lines(sys.stdin.buffer, "-", request)
    for name in files:
        with open(name, "rb") as file:
            lines += _matching_lines(file, Path(name).stem, request)
    lines.sort(key=lambda line: line.time)
    return RequestTrace(request, lines, _probable_cause(lines))


def _matching_lines(file, router, request):
    for data in file:
        if request.encode() not in data:
            continue
        try:
            fields = msgspec.json.decode(data, type=dict[str, msgspec.Raw])
        except msgspec.DecodeError:
            continue  # Not a JSON line of a router, e.g. output of the platform.
        if _decode_text(fields.get("request")) != request:
            continue
        details = {
            name: raw for name, raw in fields.items() if name not in OMITTED_FIELDS
        }
        message = _decode_text(fields.get("message"))
        yield LogLine(_decode_text(fields.get("time")), message, router, details)


def _decode_text(raw):
    return "" if raw is None else str(msgspec.json.decode(raw))


def _probable_cause(lines):
    if not lines:
        return ""
    last = lines[-1]
    if last.message == "request served":
        return "none: it was answered"
    outcome = _decode_text(last.details.get("outcome"))
    if outcome:
        return CAUSE_BY_OUTCOME.get(outcome, outcome)
    return "the router ended or log lines were dropped: no line has its outcome"
