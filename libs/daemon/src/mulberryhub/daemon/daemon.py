"""Startup and graceful shutdown of a router."""

from mulberryhub.base.green import Timeout, sleep
from mulberryhub.base.logs import module_logger

log = module_logger(__name__)

PEER_STOP_GRACE_MS = 1_000


class Lifecycle:
    """Whether the router is stopping or was drained by an operator."""

    __slots__ = ("stopping", "draining")

    def __init__(self):
        self.stopping = False
        self.draining = False

    @property
    def fails_readiness(self):
        """Whether the readiness check fails, so load balancers skip this router."""
        return self.stopping or self.draining


class Daemon:
    """A fully assembled router.

    `start_hooks` run in order before the HTTP server accepts requests. `stop_hooks`
    run in order after its last request has ended or `stop_timeout` has passed.
    """

    __slots__ = (
        "_settings",
        "_lifecycle",
        "_http_server",
        "_peer_server",
        "_start_hooks",
        "_stop_hooks",
    )

    def __init__(
        self, settings, lifecycle, http_server, peer_server, start_hooks, stop_hooks
    ):
        self._settings = settings
        self._lifecycle = lifecycle
        self._http_server = http_server
        self._peer_server = peer_server
        self._start_hooks = start_hooks
        self._stop_hooks = stop_hooks

    @property
    def address(self):
        """The address of the HTTP server as host:port."""
        return self._http_server.address

    def start(self):
        """Run the start hooks and start to accept requests."""
        self._peer_server.start()
        for hook in self._start_hooks:
            hook()
        self._http_server.start()
        log.info("started")

    def stop(self):
        """Fail the readiness check, let requests end, then run the stop hooks."""
        log.info("stopping")
        self._lifecycle.stopping = True
        sleep(self._settings.drain_delay / 1000)
        with Timeout(self._settings.stop_timeout / 1000, False):
            self._http_server.stop()
        for hook in self._stop_hooks:
            hook()
        self._peer_server.stop(PEER_STOP_GRACE_MS)
        log.info("stopped")
