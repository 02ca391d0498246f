"""A version that left is forgotten though the store is away now and then."""

import pytest

from tests.support.origin_routers import ABSENCE_MS, mixed_world

OUTAGE_MS = 2_000
RETURN_MS = 3_000  # after an outage, until the marks have been read


@pytest.mark.parametrize("interval", [15_000, 40_000, 70_000])
def test_service_is_uniform_again_after_a_version_left_despite_outages(interval):
    world = mixed_world()
    world.remove_upstream("u1")
    for _ in range(10 * ABSENCE_MS // interval):
        world.run(interval - OUTAGE_MS)
        world.set_store_available(False)
        world.run(OUTAGE_MS)
        world.set_store_available(True)
    world.run(RETURN_MS)
    assert world.routers[1].find("b") == "any"
