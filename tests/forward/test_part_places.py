import pytest

from mulberryhub.forward.locality import Region
from mulberryhub.forward.part_places import PartPlaces, StoredParts
from tests.forward.fakes import make_call, make_service, make_upstream

UPSTREAMS = [make_upstream(f"u{n}", n + 1, data_centre="abc"[n % 3]) for n in range(12)]
HOME_IDS = {item.id for item in UPSTREAMS if item.data_centre == "a"}
CALLS = [make_call((("top", 2_000), (f"p{n}", 4_000), ("own", 9))) for n in range(40)]


def miss_costs(call, is_held, token_count, region):
    places = PartPlaces(StoredParts(lambda *args: is_held, lambda: token_count))
    return places.miss_costs(call, make_service(), None, 1, UPSTREAMS, region)


@pytest.mark.parametrize(
    ("is_held", "heard", "is_home", "may_leave"),
    [
        (True, "bc", True, False),
        (False, "bc", True, True),
        (False, "", True, False),
        (False, "bc", False, False),
    ],
    ids=["held", "not_held", "nothing_heard", "sent_there"],
)
def test_upstreams_elsewhere_may_hold_parts_that_the_store_lacks(
    is_held, heard, is_home, may_leave
):
    """Guards against parts that leave for a cache that is no better or not known."""
    region = Region("a", is_home, frozenset(heard))
    for call in CALLS:
        costs = miss_costs(call, is_held, 1_000_000, region)
        holders = costs.keys() - HOME_IDS
        assert costs.keys() >= HOME_IDS and len(holders) <= may_leave
        if holders:
            assert costs[holders.pop()] < min(costs[id] for id in HOME_IDS)
    if may_leave:
        left = sum(
            len(miss_costs(call, is_held, 1, region)) > len(HOME_IDS) for call in CALLS
        )
        assert 0.4 < left / len(CALLS) < 0.9


def test_holder_elsewhere_does_not_pay_if_caches_hold_few_of_the_parts():
    """Guards against traffic for caches that most likely lack the part as well."""
    region = Region("a", True, frozenset("bc"))
    for call in CALLS:
        costs = miss_costs(call, False, 100_000_000, region)
        cheapest = min(costs, key=costs.get)
        assert cheapest in HOME_IDS


def test_fetch_costs_less_than_processing_again():
    """Guards against parts that are processed again beside a store that holds them."""
    region = Region("a", True)
    held, lacking = (
        miss_costs(CALLS[0], is_held, 10_000_000, region) for is_held in (True, False)
    )
    assert all(held[id] < lacking[id] - 200 for id in HOME_IDS)
