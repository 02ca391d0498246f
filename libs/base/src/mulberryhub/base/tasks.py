"""Runs functions in green threads and logs their unhandled exceptions."""

from mulberryhub.base.green import sleep, spawn_n
from mulberryhub.base.logs import module_logger

RESTART_DELAY_MS = 1_000

log = module_logger(__name__)


class TaskFailures:
    """The number of unhandled exceptions in tasks of this process."""

    __slots__ = ("count",)

    def __init__(self):
        self.count = 0


task_failures = TaskFailures()


def spawn_task(function, *args):
    """Run `function(*args)` in a new green thread and log an unhandled exception."""
    spawn_n(_run, function, args)


def spawn_service(function, *args):
    """Run `function(*args)` like a task, and again after an unhandled exception.

    It is started again RESTART_DELAY_MS later. It ends once the function returns.
    """
    spawn_n(_run_service, function, args)


def _run_service(function, args):
    while not _run(function, args):
        sleep(RESTART_DELAY_MS / 1_000)


def _run(function, args):
    """Run a function; return whether it ended without an exception."""
    try:
        function(*args)
    except Exception:
        task_failures.count += 1
        log.exception("task failed", task=getattr(function, "__qualname__", "?"))
        return False
    return True
