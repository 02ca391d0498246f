"""Reads the files that commands name."""

from mulberryhub.cli.failures import USAGE_CODE, CallFailed, Failure


def read_file(path):
    """Return the bytes of a file or raise CallFailed."""
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        failure = Failure(f"{path}: {error.strerror}", USAGE_CODE, "not_run")
        raise CallFailed(failure) from error
