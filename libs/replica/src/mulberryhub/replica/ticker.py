"""Runs the freshness check periodically, so that process pauses are noticed."""

from mulberryhub.base.green import sleep
from mulberryhub.replica.freshness import CHECK_INTERVAL_MS


def run_freshness_checks(freshness):
    """Call `freshness.check()` every CHECK_INTERVAL_MS; runs forever."""
    while True:
        freshness.check()
        sleep(CHECK_INTERVAL_MS / 1000)
