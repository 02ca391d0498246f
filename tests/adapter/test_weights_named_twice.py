"""The age of weights that were replaced twice. Routers are processes."""

import time

from tests.adapter.test_replaced_weights import (
    CONTACT_TIME_S,
    SAVE_TIME_S,
    VERSION_TIME_S,
    platform,
)

__all__ = ["platform"]
SECOND_NAMING_AFTER_S = 5.0


def name_twice(platform):
    """Name weights while all routers are down, and newer ones later.

    Return the Unix time in s of the first naming.
    """
    platform.name_weights(1)
    time.sleep(SAVE_TIME_S)
    platform.kill_routers()
    named_at = platform.name_weights(2)
    platform.start_routers()
    platform.ask_until(named_at + SECOND_NAMING_AFTER_S, platform.fleet.routers)
    platform.name_weights(3)
    time.sleep(SAVE_TIME_S)
    return named_at


def test_restarted_routers_do_not_count_from_the_second_of_two_namings(platform):
    named_at = name_twice(platform)
    platform.restart_routers()
    end = max(named_at + VERSION_TIME_S, time.time() + CONTACT_TIME_S)
    platform.ask_until(end + 3, platform.fleet.routers)
    assert not platform.late_runs(end)
