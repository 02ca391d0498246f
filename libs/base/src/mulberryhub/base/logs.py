"""Configures structured logging with loguru, as text or as JSON lines."""

import sys

from loguru import logger

from mulberryhub.base.lines import LineWriter

TEXT_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {extra[module]} {message} {extra}"
)


def configure_logs(level="INFO", as_json=False, sink=None):
    """Log as text, or as loguru's JSON records, to `sink` (default: standard error)."""
    logger.remove()
    logger.configure(extra={"module": "-"})
    logger.add(
        sink or sys.stderr,
        level=level,
        format=TEXT_FORMAT,
        serialize=as_json,
        backtrace=False,
        diagnose=False,
    )


def configure_json_lines(fd, level="INFO"):
    """Log as JSON lines to the file descriptor `fd` without blocking.

    Lines are dropped as described in `mulberryhub.base.lines`.
    """
    logger.remove()
    logger.configure(extra={"module": "-"})
    logger.add(LineWriter(fd), level=level, format="", backtrace=False, diagnose=False)


def module_logger(name):
    """Return a logger that adds the field `module` with the value `name`."""
    return logger.bind(module=name)


def error_text(error):
    """Return the text of `error` for a log line, the name of its type without one."""
    return str(error) or type(error).__name__
