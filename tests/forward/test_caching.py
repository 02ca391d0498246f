"""Where an attempt takes cached parts from, and when it saves them."""

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.kept import KeptParts
from mulberryhub.fleet.records import KeptPart, Service
from mulberryhub.forward.caching import SAVE_AGAIN, Caching, salt
from mulberryhub.forward.call import Attempt
from tests.forward.fakes import MODEL, make_call, make_upstream

STORE = Service("kept", cache_address="10.9.0.1:80")


class World:
    def __init__(self, heard=True):
        self.clock = ManualClock(now=1_000)
        self.kept = KeptParts(self.clock)
        if heard:
            self.kept.heard(self.clock.now())
        self.caching = Caching(lambda: STORE, self.kept, self.clock)

    def keep(self, *ids):
        for number, id in enumerate(ids):
            self.kept.learn(KeptPart(salt(MODEL, 1, None), id, 100, 7, number + 1))

    def prepare(self):
        attempt = Attempt(make_upstream("u1", 1), None, 0)
        self.caching.prepare(attempt, make_call(), 1)
        return attempt


def test_what_the_store_holds_is_fetched_there_and_not_saved_again():
    world = World()
    world.keep("top", "key")
    attempt = world.prepare()
    assert (attempt.fetch_from, attempt.save_to) == (STORE.cache_address, None)


def test_what_the_store_is_not_known_to_hold_is_asked_for_and_saved():
    world = World()
    world.keep("top")
    attempt = world.prepare()
    assert attempt.fetch_from == attempt.save_to == STORE.cache_address


def test_a_save_is_repeated_only_after_a_while():
    world = World()
    assert world.prepare().save_to is not None
    assert world.prepare().save_to is None
    world.clock.advance(SAVE_AGAIN)
    world.kept.heard(world.clock.now())
    assert world.prepare().save_to is not None


def test_a_store_that_is_not_heard_is_left_alone():
    attempt = World(heard=False).prepare()
    assert (attempt.fetch_from, attempt.save_to) == (None, None)
