"""Sends loan requests and reports to one holder."""

from mulberryhub.base.green import Event, spawn
from mulberryhub.limits.messages import BORROW_METHOD, BorrowRequest, BorrowResponse
from mulberryhub.peers.client import PeerUnavailable

CALL_TIMEOUT_MS = 400
INITIAL_BACKOFF_MS = 250
MAX_BACKOFF_MS = 4_000


class BorrowClient:
    """Sends loan requests and reports to the holder `vm` on a green thread.

    One call is made at a time, with the requests and reports of all workspaces. The
    limiter supplies the reports (`collect_reports`) and handles the outcome of each
    call (`handle_response`, `handle_failure`).
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
        """Return whether the backoff after the last failed call is over."""
        return self._clock.now() >= self._retry_at

    def request_loan(self, loan_request):
        """Send `loan_request` with the next call."""
        self._loan_requests.append(loan_request)
        self.wake()

    def wake(self):
        """Trigger a call if there are loan requests or reports to send."""
        if not self._wake_event.ready():
            self._wake_event.send()

    def close(self):
        """Stop the thread; loan requests without a response fail."""
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
