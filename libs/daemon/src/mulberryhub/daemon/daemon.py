"""Start and graceful stop of a router."""

from mulberryhub.base.green import Timeout, sleep
from mulberryhub.base.logs import module_logger

log = module_logger(__name__)

PEER_GRACE = 1_000  # ms


class Lifecycle:
    """Whether the router is about to stop, or fails readiness on request."""

    __slots__ = ("stopping", "draining")

    def __init__(self):
        self.stopping = False
        self.draining = False

    @property
    def is_ending(self):
        """Return whether the balancer is to send no new calls."""
        return self.stopping or self.draining


class Daemon:
    """A wired router.

    The functions `on_start` run in order before the HTTP side serves, and those
    of `on_stop` in order after its last call has ended.
    """

    __slots__ = (
        "_settings",
        "_lifecycle",
        "_http",
        "_peer_server",
        "_on_start",
        "_on_stop",
    )

    def __init__(self, settings, lifecycle, http, peer_server, on_start, on_stop):
        self._settings = settings
        self._lifecycle = lifecycle
        self._http = http
        self._peer_server = peer_server
        self._on_start = on_start
        self._on_stop = on_stop

    @property
    def address(self):
        """Return the address for callers as host:port."""
        return self._http.address

    def start(self):
        """Start to serve."""
        self._peer_server.start()
        for function in self._on_start:
            function()
        self._http.start()
        log.info("started")

    def stop(self):
        """Fail readiness, let running calls end, then stop the parts."""
        log.info("stopping")
        self._lifecycle.stopping = True
        sleep(self._settings.drain_delay / 1000)
        with Timeout(self._settings.stop_timeout / 1000, False):
            self._http.stop()
        for function in self._on_stop:
            function()
        self._peer_server.stop(PEER_GRACE)
        log.info("stopped")
