"""Reads files given on the command line."""

from mulberryhub.cli.failures import USAGE_ERROR_CODE, CallFailed, Failure


def read_file(path):
    """Return the content of the file `path` in bytes.

    Raises CallFailed with a usage error if the file cannot be read.
    """
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        failure = Failure(f"{path}: {error.strerror}", USAGE_ERROR_CODE, "not_run")
        raise CallFailed(failure) from error
