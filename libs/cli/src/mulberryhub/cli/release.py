"""The command `release`: prints the releases of software that a router knows."""

import msgspec

from mulberryhub.base.green import urllib3
from mulberryhub.cli.failures import CallFailed, Failure
from mulberryhub.cli.output import EXIT_OK, write_json

RELEASES_PATH = "/releases"
CALL_TIMEOUT_S = 5
STATUS_OK = 200


class VersionOutcomes(msgspec.Struct):
    """The requests sent to one version, and how they ended."""

    sent: int = 0
    retried: int = 0
    served: int = 0
    failed: int = 0
    lost: int = 0


class ReleaseReport(msgspec.Struct):
    """A release as the router knows it; times are in ms."""

    service: str
    order: str
    target: str
    state: str
    share: float = 0
    upstreams: int = 0
    age: int = 0
    duration: int = 0
    state_age: int | None = None
    is_status_written: bool = False
    reason: str = ""
    excluded_versions: list[str | None] = []
    outcomes: dict[str, VersionOutcomes] = {}


def release(address: str, *, json: bool = False):
    """Print the state and the evidence of each release of software that a router knows.

    :param address: metrics address of a router on a platform
    :param json: print JSON
    """
    reports = _read_reports(address)
    if json:
        write_json(reports)
        return EXIT_OK
    if not reports:
        print("no release was ordered")
    for report in reports:
        print(describe_release(report))
    return EXIT_OK


def describe_release(report):
    """Return the lines that describe a ReleaseReport."""
    head = f"{report.service} to {report.target}: {report.state}"
    if report.order != report.target:
        head += f", ordered is {report.order or 'none'}"
    if report.state_age is None:
        return f"{head}, no router has decided yet"
    lines = [
        f"{head}, {report.age} of {report.duration} ms",
        f"  newest state received {report.state_age} ms ago",
        f"  reason: {report.reason}",
    ]
    if report.state == "running":
        lines.append(f"  share: {report.share:.3f} at {report.upstreams} upstreams")
    if report.excluded_versions:
        names = ", ".join(str(version) for version in report.excluded_versions)
        lines.append(f"  excluded versions: {names}")
    if not report.is_status_written:
        lines.append("  the store does not have this status yet")
    for name, item in report.outcomes.items():
        lines.append(
            f"  {name}: {item.sent} sent, {item.retried} retried, "
            f"{item.served} served, {item.failed} failed, {item.lost} lost"
        )
    return "\n".join(lines)


def _read_reports(address):
    url = f"http://{address}{RELEASES_PATH}"
    try:
        answer = urllib3.request("GET", url, retries=False, timeout=CALL_TIMEOUT_S)
        if answer.status != STATUS_OK:
            raise CallFailed(Failure(f"{address} answered {answer.status}"))
        return msgspec.json.decode(answer.data, type=list[ReleaseReport])
    except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as error:
        raise CallFailed(Failure(f"{address}: {error}")) from error
