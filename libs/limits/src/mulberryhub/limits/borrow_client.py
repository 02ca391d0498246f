"""The calls to one holder: one at a time, each for all workspaces at once."""

from mulberryhub.base.green import Event, spawn
from mulberryhub.limits.messages import BORROW_METHOD, BorrowRequest, BorrowResponse
from mulberryhub.peers.client import PeerUnavailable

CALL_TIMEOUT_MS = 400  # ms
INITIAL_BACKOFF_MS = 250  # ms
MAX_BACKOFF_MS = 4_000  # ms


class BorrowClient:
    """Sends asks and reports to the holder `vm` on a green thread.

    `collect(vm)` returns the reports to send along, `receive(vm, asks, loans)`
    takes an answer, and `fail(vm, asks, reports)` what got none.
    """

    __slots__ = (
        "vm",
        "address",
        "_router",
        "_peer_client",
        "_clock",
        "_limiter",
        "_loan_requests",
        "_wake_event",
        "_retry_at",
        "_backoff",
        "_thread",
    )

    def __init__(self, vm, address, router, peer_client, clock, limiter):
        self.vm = vm
        self.address = address
        self._router = router
        self._peer_client = peer_client
        self._clock = clock
        self._limiter = limiter
        self._loan_requests = []
        self._wake_event = Event()
        self._retry_at = 0
        self._backoff = INITIAL_BACKOFF_MS
        self._thread = spawn(self._run)

    @property
    def is_usable(self):
        """Tell whether the holder is not known to be unreachable."""
        return self._clock.now() >= self._retry_at

    def request_loan(self, loan_request):
        """Send `ask` with the next call."""
        self._loan_requests.append(loan_request)
        self.wake()

    def wake(self):
        """Send what there is."""
        if not self._wake_event.ready():
            self._wake_event.send()

    def close(self):
        """Stop calling; asks on the way are given up."""
        self._thread.kill()
        loan_requests, self._loan_requests = self._loan_requests, []
        self._limiter.handle_failure(self.vm, loan_requests, [])

    def _run(self):
        while True:
            self._wake_event.wait()
            self._wake_event = Event()
            loan_requests, self._loan_requests = self._loan_requests, []
            reports = self._limiter.collect_reports(self.vm)
            if loan_requests or reports:
                self._call(loan_requests, reports)

    def _call(self, loan_requests, reports):
        router = self._router
        request = BorrowRequest(
            router.vm, router.incarnation, self.vm, loan_requests, reports
        )
        try:
            response = self._peer_client.call(
                self.address, BORROW_METHOD, request, BorrowResponse, CALL_TIMEOUT_MS
            )
        except PeerUnavailable:
            self._retry_at = self._clock.now() + self._backoff
            self._backoff = min(MAX_BACKOFF_MS, 2 * self._backoff)
            self._limiter.handle_failure(self.vm, loan_requests, reports)
            return
        except BaseException:
            self._limiter.handle_failure(self.vm, loan_requests, reports)
            raise
        self._backoff = INITIAL_BACKOFF_MS
        self._limiter.handle_response(self.vm, loan_requests, response)
