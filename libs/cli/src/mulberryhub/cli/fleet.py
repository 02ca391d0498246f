"""Waits until a change is in force on every live router."""

from time import monotonic, sleep

from mulberryhub.cli.failures import CallFailed
from mulberryhub.cli.output import write_progress
from mulberryhub.config.administration import FleetResponse, RouterReport

POLL = 0.3  # s


def read_fleet(client, key_hash=""):
    """Return the reports of all routers."""
    return client.get(f"/admin/fleet?key_hash={key_hash}", FleetResponse).routers


def wait_everywhere(client, is_in_force, timeout, key_hash=""):
    """Return the reports of the live routers where a change is not in force.

    `is_in_force(status)` tells whether it is on one router; `timeout` is in s.
    """
    deadline = monotonic() + timeout
    shown = None
    while True:
        missing, total = _read_missing(client, is_in_force, key_hash)
        if total and len(missing) != shown:
            shown = len(missing)
            write_progress(f"in force on {total - shown} of {total} live routers")
        if not missing or monotonic() >= deadline:
            return missing
        sleep(POLL)


def _read_missing(client, is_in_force, key_hash):
    try:
        reports = [item for item in read_fleet(client, key_hash) if item.live]
    except CallFailed as error:
        return [RouterReport("all", None, error.failure.message)], 0
    missing = [
        report
        for report in reports
        if report.status is None or not is_in_force(report.status)
    ]
    return missing, len(reports)


def describe(report):
    """Return one line on a router."""
    status = report.status
    if status is None:
        note = "" if report.live else ", not live"
        return f"{report.vm}: no answer ({report.reason}{note})"
    parts = [f"offset {status.offset}"]
    parts.append("ready" if status.ready else "not ready")
    parts.append("log readable" if status.log_readable else "log not readable")
    if status.pending:
        parts.append(f"{status.pending} withdrawals not kept yet")
    if status.unread is not None:
        parts.append(f"too old to read the change at offset {status.unread}")
    return f"{report.vm}: {', '.join(parts)}"
