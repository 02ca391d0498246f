"""Budget of retries: a share of the requests, with a small reserve."""

from random import uniform

RETRY_SHARE = 0.1  # retries for each request
RESERVE = 50  # retries
FIRST_PAUSE = 20  # ms
LONGEST_PAUSE = 500  # ms


class RetryBudget:
    """Retries that may still be made; each request earns a share of one."""

    __slots__ = ("retries",)

    def __init__(self, retries=RESERVE):
        self.retries = retries

    def earn(self):
        """Note one request that is not a retry."""
        self.retries = min(RESERVE, self.retries + RETRY_SHARE)

    def spend(self):
        """Take one retry and return whether there was one left."""
        if self.retries < 1:
            return False
        self.retries -= 1
        return True


def backoff(attempt):
    """Return a random pause in ms before retry number `attempt`, from 0."""
    return uniform(0, min(LONGEST_PAUSE, FIRST_PAUSE * 2**attempt))
