"""Retry budget, proportional to the request rate, and backoff between retries."""

from random import uniform

RETRIES_PER_REQUEST = 0.1
MAX_RETRY_COUNT = 50  # retries that can accumulate; also the initial budget
FIRST_BACKOFF_MS = 20
MAX_BACKOFF_MS = 500


class RetryBudget:
    """Token bucket of retries: each request adds a share of a retry.

    `available` is the number of retries left, a float.
    """

    __slots__ = ("available",)

    def __init__(self, available=MAX_RETRY_COUNT):
        self.available = available

    def record_request(self):
        """Add the share for one request; not to be called for retries."""
        self.available = min(MAX_RETRY_COUNT, self.available + RETRIES_PER_REQUEST)

    def try_spend(self):
        """Use up one retry; return False if none is available."""
        if self.available < 1:
            return False
        self.available -= 1
        return True


def backoff_ms(attempt):
    """Return a random delay in ms before retry `attempt`, counted from 0.

    The delay has full jitter: its upper bound doubles with each retry up to
    MAX_BACKOFF_MS.
    """
    return uniform(0, min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2**attempt))
