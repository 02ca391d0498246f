from mulberryhub.permits.fair_share import MAX_FLOW_COUNT, FairShare


def test_flow_that_was_granted_less_is_next():
    fair_share = FairShare()
    fair_share.record_denied("a", 100, 0)
    fair_share.record_denied("b", 100, 0)
    fair_share.record_granted("a", 1, 1, 0)
    assert fair_share.is_next("b", 0)
    assert not fair_share.is_next("a", 0)
    assert fair_share.is_next("a", 101)


def test_flow_of_double_weight_is_granted_twice_as_often():
    fair_share = FairShare()
    granted = {"a": 0, "b": 0}
    weights = {"a": 2, "b": 1}
    for now in range(300):
        for key in granted:
            fair_share.record_denied(key, now + 10, now)
        key = next(key for key in ("b", "a") if fair_share.is_next(key, now))
        fair_share.record_granted(key, weights[key], 1, now)
        granted[key] += 1
    assert granted == {"a": 200, "b": 100}


def test_idle_flow_saves_up_nothing():
    fair_share = FairShare()
    fair_share.record_granted("b", 1, 1, 0)
    for now in range(1_000):
        fair_share.record_granted("a", 1, 1, now)
    fair_share.record_denied("a", 2_000, 1_000)
    fair_share.record_denied("b", 2_000, 1_000)
    fair_share.record_granted("b", 1, 2, 1_000)
    assert fair_share.is_next("a", 1_000)


def test_idle_flows_are_dropped():
    fair_share = FairShare()
    for number in range(3 * MAX_FLOW_COUNT):
        fair_share.record_denied(str(number), number + 1, number)
    assert len(fair_share._flows_by_key) <= MAX_FLOW_COUNT
