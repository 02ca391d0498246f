import msgspec

from mulberryhub.fleet.records import Usage
from mulberryhub.forward.slowness import SlownessSum
from mulberryhub.forward.speed_sharing import (
    MAX_SHARED_UPSTREAMS,
    TURN_MS,
    SharedSums,
    encode_due,
    incarnation_key,
)
from tests.forward.fakes import make_upstream

KEY = incarnation_key("u", 0)


def make_usage(weight, slowness):
    return Usage(
        speed_weight_by_incarnation={KEY: weight},
        slowness_by_incarnation={KEY: slowness},
    )


def test_reports_are_bounded_and_each_upstream_has_its_turn():
    """Guards against reports that grow with the fleet, and against gaps in them."""
    upstreams = {f"upstream-{n}": make_upstream(f"upstream-{n}") for n in range(3_300)}
    sums = {id: SlownessSum(0, incarnation_key(id, 0), 0, 60, -30) for id in upstreams}
    parts = [encode_due(sums, upstreams, 0, turn * TURN_MS) for turn in range(52)]
    assert len(set().union(*(weights for weights, _ in parts))) == len(upstreams)
    names_only = Usage(
        speed_weight_by_incarnation={0: 0}, slowness_by_incarnation={0: 0}
    )
    fixed = len(msgspec.msgpack.encode(names_only))
    for weights, totals in parts:
        assert len(weights) <= 1.5 * MAX_SHARED_UPSTREAMS
        usage = Usage(
            speed_weight_by_incarnation=weights, slowness_by_incarnation=totals
        )
        assert len(msgspec.msgpack.encode(usage)) - fixed <= 16 * len(weights)


def test_sums_over_routers_survive_encoding_and_subtraction():
    """Guards against means that change on the way through `Usage`."""
    total, own = Usage(routers=0), None
    upstreams = {"u": make_upstream("u")}
    for mean in (-1.1, -0.5, -0.8):
        item = SlownessSum(0, KEY, 0, 8, 8 * mean)
        weights, totals = encode_due({"u": item}, upstreams, 0, 0)
        own = make_usage(weights[KEY], totals[KEY])
        total.add(own)
    received = msgspec.msgpack.decode(msgspec.msgpack.encode(total), type=Usage)
    shared = SharedSums()
    shared.read(received.minus(own), upstreams, 0)
    assert shared.by_id["u"].weight == 16
    assert abs(shared.by_id["u"].total / 16 + 0.8) < 0.01


def test_partial_sum_does_not_replace_a_full_one_before_its_next_turn():
    """Guards against a single wrong clock that replaces what all others told."""
    shared, upstreams = SharedSums(), {"u": make_upstream("u")}
    upstreams |= {str(n): make_upstream(str(n)) for n in range(MAX_SHARED_UPSTREAMS)}
    shared.read(make_usage(160, 80), upstreams, 0)
    shared.read(make_usage(16, 48), upstreams, TURN_MS - 1)
    assert shared.by_id["u"].weight == 10
    shared.read(make_usage(16, 48), upstreams, TURN_MS)
    assert shared.by_id["u"].weight == 1


def test_sums_of_another_incarnation_are_not_used():
    """Guards against speeds of a process that ended, which others still report."""
    shared, upstreams = SharedSums(), {"u": make_upstream("u")}
    shared.read(make_usage(160, 80), upstreams, 0)
    upstreams["u"] = make_upstream("u", 2, started=5)
    shared.read(make_usage(160, 80), upstreams, 1)
    assert not shared.by_id
