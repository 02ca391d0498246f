"""Runs functions in green threads and logs their unhandled exceptions."""

from mulberryhub.base.green import spawn_n
from mulberryhub.base.logs import module_logger

log = module_logger(__name__)


def spawn_task(function, *args):
    """Run `function(*args)` in a new green thread and log an unhandled exception."""
    spawn_n(_run, function, args)


def _run(function, args):
    try:
        function(*args)
    except Exception:
        log.exception("task failed", task=getattr(function, "__qualname__", "?"))
