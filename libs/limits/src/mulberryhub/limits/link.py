"""The calls to one holder: one at a time, each for all workspaces at once."""

from mulberryhub.base.green import Event, spawn
from mulberryhub.limits.messages import BORROW, Borrow, Loans
from mulberryhub.peers.client import PeerUnavailable

CALL_TIMEOUT = 400  # ms
FIRST_PAUSE = 250  # ms
LAST_PAUSE = 4_000  # ms


class Link:
    """Sends asks and reports to the holder `vm` on a green thread.

    `collect(vm)` returns the reports to send along, `receive(vm, asks, loans)`
    takes an answer, and `fail(vm, asks, reports)` what got none.
    """

    __slots__ = (
        "vm",
        "address",
        "_router",
        "_client",
        "_clock",
        "_limiter",
        "_asks",
        "_woken",
        "_retry_at",
        "_pause",
        "_thread",
    )

    def __init__(self, vm, address, router, client, clock, limiter):
        self.vm = vm
        self.address = address
        self._router = router
        self._client = client
        self._clock = clock
        self._limiter = limiter
        self._asks = []
        self._woken = Event()
        self._retry_at = 0
        self._pause = FIRST_PAUSE
        self._thread = spawn(self._run)

    @property
    def is_usable(self):
        """Tell whether the holder is not known to be unreachable."""
        return self._clock.now() >= self._retry_at

    def ask(self, ask):
        """Send `ask` with the next call."""
        self._asks.append(ask)
        self.wake()

    def wake(self):
        """Send what there is."""
        if not self._woken.ready():
            self._woken.send()

    def close(self):
        """Stop calling; asks on the way are given up."""
        self._thread.kill()
        asks, self._asks = self._asks, []
        self._limiter.fail(self.vm, asks, [])

    def _run(self):
        while True:
            self._woken.wait()
            self._woken = Event()
            asks, self._asks = self._asks, []
            reports = self._limiter.collect_reports(self.vm)
            if asks or reports:
                self._call(asks, reports)

    def _call(self, asks, reports):
        router = self._router
        message = Borrow(router.vm, router.incarnation, self.vm, asks, reports)
        try:
            loans = self._client.call(
                self.address, BORROW, message, Loans, CALL_TIMEOUT
            )
        except PeerUnavailable:
            self._retry_at = self._clock.now() + self._pause
            self._pause = min(LAST_PAUSE, 2 * self._pause)
            self._limiter.fail(self.vm, asks, reports)
            return
        except BaseException:
            self._limiter.fail(self.vm, asks, reports)
            raise
        self._pause = FIRST_PAUSE
        self._limiter.receive(self.vm, asks, loans)
