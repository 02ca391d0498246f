"""Reads router reports and waits until a change is in force on all live routers."""

from time import monotonic, sleep

from mulberryhub.cli.failures import CallFailed
from mulberryhub.cli.output import write_progress
from mulberryhub.config.administration import FleetResponse, RouterReport

POLL_INTERVAL_S = 0.3


def read_reports(client, key_hash=""):
    """Return the RouterReport of every router.

    If `key_hash` is given, each status says whether that key is withdrawn.
    """
    return client.get(f"/admin/fleet?key_hash={key_hash}", FleetResponse).routers


def wait_until_in_force(client, is_in_force, timeout, key_hash=""):
    """Poll until a change is in force on all live routers or `timeout` s have passed.

    `is_in_force(status)` decides for the status of one router. Returns the reports of
    the live routers on which the change is not in force; the list is empty on success.
    """
    deadline = monotonic() + timeout
    missing_count = None
    while True:
        not_in_force, live_count = _read_not_in_force(client, is_in_force, key_hash)
        if live_count and len(not_in_force) != missing_count:
            missing_count = len(not_in_force)
            write_progress(
                f"in force on {live_count - missing_count} of {live_count} live routers"
            )
        if not not_in_force or monotonic() >= deadline:
            return not_in_force
        sleep(POLL_INTERVAL_S)


def _read_not_in_force(client, is_in_force, key_hash):
    try:
        reports = [item for item in read_reports(client, key_hash) if item.live]
    except CallFailed as error:
        return [RouterReport("all", None, error.failure.message)], 0
    not_in_force = [
        report
        for report in reports
        if report.status is None or not is_in_force(report.status)
    ]
    return not_in_force, len(reports)


def describe_router(report):
    """Return one line with the state of a router."""
    status = report.status
    if status is None:
        liveness = "" if report.live else ", not live"
        return f"{report.vm}: no answer ({report.reason}{liveness})"
    parts = [f"offset {status.offset}"]
    parts.append("ready" if status.ready else "not ready")
    parts.append("log readable" if status.log_readable else "log not readable")
    if status.pending:
        parts.append(f"{status.pending} withdrawals not yet in the log")
    if status.unread is not None:
        parts.append(f"too old to read the change at offset {status.unread}")
    return f"{report.vm}: {', '.join(parts)}"
