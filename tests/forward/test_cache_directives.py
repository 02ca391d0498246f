"""Which store an attempt fetches cached prompt parts from, and when it saves them."""

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.cache_index import CacheIndex
from mulberryhub.fleet.records import CachedPart, Service
from mulberryhub.forward.cache_directives import (
    SAVE_RETRY_INTERVAL_MS,
    CacheDirectives,
    cache_salt,
)
from mulberryhub.forward.call import Attempt
from tests.forward.fakes import MODEL, make_call, make_upstream

STORE = Service("kept", cache_address="10.9.0.1:80")


class Fixture:
    def __init__(self, is_reachable=True):
        self.clock = ManualClock(now=1_000)
        self.cache_index = CacheIndex(self.clock)
        if is_reachable:
            self.cache_index.mark_current(self.clock.now())
        self.cache_directives = CacheDirectives(
            lambda workspace: "", lambda: STORE, self.cache_index, self.clock
        )

    def add_kept(self, *ids):
        for number, id in enumerate(ids):
            self.cache_index.apply(
                CachedPart(cache_salt(MODEL, 1, ""), id, 100, 7, number + 1)
            )

    def prepare(self):
        attempt = Attempt(make_upstream("u1", 1), None, 0)
        self.cache_directives.prepare(attempt, make_call(), 1)
        return attempt


def test_stored_parts_are_fetched_and_not_saved_again():
    fixture = Fixture()
    fixture.add_kept("top", "key")
    attempt = fixture.prepare()
    assert (attempt.fetch_from, attempt.save_to) == (STORE.cache_address, None)


def test_parts_not_known_to_be_stored_are_fetched_and_saved():
    fixture = Fixture()
    fixture.add_kept("top")
    attempt = fixture.prepare()
    assert attempt.fetch_from == attempt.save_to == STORE.cache_address


def test_held_parts_are_those_of_the_version_in_a_store_that_can_be_reached():
    """Guards against requests kept at home for parts that are processed again there."""
    for is_reachable in (True, False):
        fixture = Fixture(is_reachable)
        fixture.add_kept("top", "key")
        holds_parts = fixture.cache_directives.holds_parts
        assert holds_parts(make_call(), None, 1) is is_reachable
        assert not holds_parts(make_call(), None, 2)


def test_save_is_repeated_only_after_the_retry_interval():
    fixture = Fixture()
    assert fixture.prepare().save_to is not None
    assert fixture.prepare().save_to is None
    fixture.clock.advance(SAVE_RETRY_INTERVAL_MS)
    fixture.cache_index.mark_current(fixture.clock.now())
    assert fixture.prepare().save_to is not None


def test_unreachable_store_is_not_used():
    attempt = Fixture(is_reachable=False).prepare()
    assert (attempt.fetch_from, attempt.save_to) == (None, None)
