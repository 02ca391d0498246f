from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.cache_index import CacheIndex
from mulberryhub.fleet.records import CachedPart


def test_token_count_is_that_of_the_parts_held():
    """Guards against a count that drifts, so that caches seem too small."""
    index = CacheIndex(ManualClock(now=1_000))
    index.restart(1)
    for id, tokens, number in (("p", 100, 1), ("q", 50, 2), ("p", 0, 3), ("r", 7, 4)):
        index.apply(CachedPart("s", id, tokens, 1, number))
        index.apply(CachedPart("s", id, tokens, 1, number))
    assert index.token_count == 57
    index.restart(2)
    assert index.token_count == 0
