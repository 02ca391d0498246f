from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.beliefs import UNKNOWN, Beliefs, Topic
from mulberryhub.fleet.removals import RETURN_TIME, Removals
from tests.fleet.test_beliefs import make_upstream


class World:
    def __init__(self):
        self.clock = ManualClock(now=1_000)
        self.beliefs = Beliefs(self.clock)
        self.removals = Removals(self.beliefs, self.clock)
        self.beliefs.learn(make_upstream("u1", 1))
        self.removals.note_read()

    def pass_outage(self):
        self.removals.note_failure(self.clock.now())
        self.clock.advance(5_000)
        self.removals.note_read()

    def run(self, duration):
        for _ in range(duration // 500):
            self.clock.advance(500)
            self.removals.note_read()
            self.hear()

    def hear(self):
        """Take from another router that the topic is current."""
        self.beliefs.read_up_to(Topic.UPSTREAMS, UNKNOWN, self.clock.now())
        self.removals.apply_due()

    def has_upstream(self):
        return "u1" in self.beliefs.upstreams_by_id


def test_a_removal_takes_effect_at_once():
    world = World()
    world.run(1_000)
    world.removals.remove("u1", 2)
    assert not world.has_upstream()


def test_a_removal_seen_after_an_outage_waits_for_the_upstream_to_return():
    world = World()
    world.pass_outage()
    world.removals.remove("u1", 2)
    assert world.has_upstream()
    world.run(RETURN_TIME - 500)
    assert world.has_upstream()
    world.run(1_000)
    assert not world.has_upstream()


def test_an_upstream_that_is_listed_again_stays():
    world = World()
    world.pass_outage()
    world.removals.remove("u1", 2)
    world.beliefs.learn(make_upstream("u1", 3))
    world.run(2 * RETURN_TIME)
    assert world.has_upstream()


def test_what_a_whole_listing_lacks_is_gone():
    world = World()
    world.beliefs.learn(make_upstream("u2", 2))
    world.run(500)
    world.removals.remove_unlisted(["u2"], end=3)
    assert set(world.beliefs.upstreams_by_id) == {"u2"}


def test_a_removal_that_waits_takes_effect_though_the_router_ceases_to_read():
    world = World()
    world.pass_outage()
    world.removals.remove("u1", 2)
    world.clock.advance(RETURN_TIME - 1)
    world.hear()
    assert world.has_upstream()
    world.clock.advance(1)
    world.hear()
    assert not world.has_upstream()


def test_a_removal_waits_on_while_nothing_new_is_known():
    world = World()
    world.pass_outage()
    world.removals.remove("u1", 2)
    world.clock.advance(2 * RETURN_TIME)
    world.removals.apply_due()
    assert world.has_upstream()


def test_a_router_that_alone_was_cut_off_removes_what_left_at_once():
    world = World()
    world.removals.note_failure(world.clock.now())
    for _ in range(5):
        world.clock.advance(1_000)
        world.hear()
    world.removals.note_read()
    world.removals.remove("u1", 2)
    assert not world.has_upstream()


def test_a_return_of_the_store_that_another_router_tells_of_holds_removals_back():
    world = World()
    world.hear()
    world.removals.note_failure(world.clock.now())
    world.clock.advance(5_000)
    world.hear()
    world.removals.note_read()
    world.removals.remove("u1", 2)
    assert world.has_upstream()
    world.run(RETURN_TIME + 500)
    assert not world.has_upstream()
