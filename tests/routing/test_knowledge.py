from mulberryhub.routing.knowledge import (
    HOLDERS_KEPT,
    PREFIXES_KEPT,
    Knowledge,
    Retention,
)


def test_size_is_bounded_and_the_oldest_goes_first():
    knowledge = Knowledge()
    for number in range(PREFIXES_KEPT + 10):
        knowledge.record(number.to_bytes(8), "engine-1", number)
    assert len(knowledge) == PREFIXES_KEPT
    assert knowledge.seen_by_engine((0).to_bytes(8)) == {}
    assert knowledge.seen_by_engine((10).to_bytes(8)) == {"engine-1": 10}


def test_holders_of_a_prefix_are_bounded():
    knowledge = Knowledge()
    for number in range(HOLDERS_KEPT + 5):
        knowledge.record(b"prefix", f"engine-{number}", number)
    seen = knowledge.seen_by_engine(b"prefix")
    assert list(seen) == [f"engine-{i}" for i in range(5, HOLDERS_KEPT + 5)]


def test_retention_learns_each_case_apart():
    retention = Retention()
    young = retention.sighting(True, 100)
    old = retention.sighting(True, 60_000)
    before = retention.share(young)
    for _ in range(200):
        retention.learn(old, False)
    assert retention.share(old) < 0.05
    assert retention.share(young) == before
    assert retention.sighting(False, 100) not in (young, old)
    assert retention.sighting(True, None) != retention.sighting(True, 0)
