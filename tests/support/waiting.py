"""Polling for a condition inside the process of the test."""

from mulberryhub.base.clock import Clock
from mulberryhub.base.green import sleep


def wait_for(condition, timeout=20_000):
    deadline = Clock().now() + timeout
    while not condition():
        assert Clock().now() < deadline, "the condition did not come true"
        sleep(0.01)
