"""Green threads whose failures are logged instead of lost."""

from mulberryhub.base.green import spawn_n
from mulberryhub.base.logs import module_logger

log = module_logger(__name__)


def spawn_task(function, *args):
    """Run `function` in a green thread; an error that it does not handle is logged."""
    spawn_n(_run, function, args)


def _run(function, args):
    try:
        function(*args)
    except Exception:
        log.exception("task failed", task=getattr(function, "__qualname__", "?"))
