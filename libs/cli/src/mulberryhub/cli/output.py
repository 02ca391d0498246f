"""Writes text and JSON output and defines the exit codes."""

import sys

import msgspec

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_NOT_IN_FORCE = 3  # Not on all live routers, or some did not answer.
EXIT_UNKNOWN = 4  # The call may or may not have taken effect.


def write_json(value):
    """Write `value` to standard output as an indented JSON document."""
    data = msgspec.json.encode(value)
    print(msgspec.json.format(data, indent=2).decode())


def write_progress(text):
    """Write a progress line to standard error and flush it."""
    print(text, file=sys.stderr, flush=True)


def report_failure(error, as_json):
    """Write the CallFailed `error` and return the exit code for it.

    Text goes to standard error, JSON to standard output.
    """
    if as_json:
        write_json({"error": error.failure, "findings": error.findings})
    else:
        print(f"{error.failure.code}: {error.failure.message}", file=sys.stderr)
        for finding in error.findings:
            print(finding, file=sys.stderr)
    if error.is_usage_error:
        return EXIT_USAGE
    return EXIT_REFUSED if error.is_permanent else EXIT_UNKNOWN
