"""Structured log lines on standard error, for changes of state only."""

import sys

from loguru import logger

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


def module_logger(name):
    """Return the logger of the module `name`."""
    return logger.bind(module=name)
