"""Structured log lines: text on standard error, or JSON objects on a descriptor."""

import sys

from loguru import logger

from mulberryhub.base.lines import LineWriter

FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {extra[module]} {message} {extra}"


def configure_logs(level="INFO", as_json=False, sink=None):
    """Send log lines to `sink` (standard error) as text or as JSON objects."""
    logger.remove()
    logger.configure(extra={"module": "-"})
    logger.add(
        sink or sys.stderr,
        level=level,
        format=FORMAT,
        serialize=as_json,
        backtrace=False,
        diagnose=False,
    )


def configure_json_lines(fd, level="INFO"):
    """Write log lines as JSON objects to the file descriptor `fd`; never block."""
    logger.remove()
    logger.configure(extra={"module": "-"})
    logger.add(LineWriter(fd), level=level, format="", backtrace=False, diagnose=False)


def module_logger(name):
    """Return the logger of the module `name`."""
    return logger.bind(module=name)
