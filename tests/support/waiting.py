"""Polls a condition in the test process while green threads run."""

from mulberryhub.base.clock import Clock
from mulberryhub.base.green import sleep


def wait_for(condition, timeout=20_000):
    """Poll `condition()` until it is true; fail after `timeout` ms."""
    deadline = Clock().now() + timeout
    while not condition():
        assert Clock().now() < deadline, "the condition did not come true"
        sleep(0.01)
