"""Checks at short intervals whether the process was paused."""

from mulberryhub.base.green import sleep
from mulberryhub.replica.freshness import TICK


def run_ticker(freshness):
    """Check `freshness` every TICK ms for as long as the router runs."""
    while True:
        freshness.check()
        sleep(TICK / 1000)
