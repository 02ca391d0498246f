from mulberryhub.routing.prefix_index import (
    MAX_HOLDER_COUNT,
    MAX_PREFIX_COUNT,
    PrefixIndex,
    RetentionEstimator,
)


def test_least_recent_prefix_is_dropped_at_the_size_limit():
    prefix_index = PrefixIndex()
    for number in range(MAX_PREFIX_COUNT + 10):
        prefix_index.record(number.to_bytes(8), "engine-1", number)
    assert len(prefix_index) == MAX_PREFIX_COUNT
    assert prefix_index.last_seen_by_engine((0).to_bytes(8)) == {}
    assert prefix_index.last_seen_by_engine((10).to_bytes(8)) == {"engine-1": 10}


def test_least_recent_holder_of_a_prefix_is_dropped_at_the_limit():
    prefix_index = PrefixIndex()
    for number in range(MAX_HOLDER_COUNT + 5):
        prefix_index.record(b"prefix", f"engine-{number}", number)
    last_seen = prefix_index.last_seen_by_engine(b"prefix")
    assert list(last_seen) == [f"engine-{i}" for i in range(5, MAX_HOLDER_COUNT + 5)]


def test_hit_rate_of_each_bucket_is_learned_separately():
    estimator = RetentionEstimator()
    recent_bucket = estimator.bucket(True, 100)
    old_bucket = estimator.bucket(True, 60_000)
    initial_hit_rate = estimator.hit_rate(recent_bucket)
    for _ in range(200):
        estimator.update(old_bucket, False)
    assert estimator.hit_rate(old_bucket) < 0.05
    assert estimator.hit_rate(recent_bucket) == initial_hit_rate
    assert estimator.bucket(False, 100) not in (recent_bucket, old_bucket)
    assert estimator.bucket(True, None) != estimator.bucket(True, 0)
