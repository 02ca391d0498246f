"""Output for people or as JSON, and the exit codes."""

import sys

import msgspec

OK = 0
REFUSED = 1
USAGE = 2
NOT_EVERYWHERE = 3
NOT_SURE = 4


def write_json(value):
    """Write `value` as one JSON document to standard output."""
    data = msgspec.json.encode(value)
    print(msgspec.json.format(data, indent=2).decode())


def write_progress(text):
    """Write a line on what is being waited for to standard error."""
    print(text, file=sys.stderr, flush=True)


def report_failure(error, as_json):
    """Write a CallFailed and return the exit code."""
    if as_json:
        write_json({"error": error.failure, "findings": error.findings})
    else:
        print(f"{error.failure.code}: {error.failure.message}", file=sys.stderr)
        for finding in error.findings:
            print(finding, file=sys.stderr)
    if error.is_usage:
        return USAGE
    return REFUSED if error.is_refusal else NOT_SURE
