"""Who reads the store, and whom the others follow, as routers come and go."""

import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.beliefs import UNKNOWN, Beliefs, Topic
from mulberryhub.fleet.records import Member
from mulberryhub.fleet.sources import FRESH, JOIN_TIME, LONGEST_STAGGER, Sources

MEMBERS = [Member(f"a{n}", f"a{n}:1", "a", n) for n in range(3)]
MEMBERS += [Member(f"b{n}", f"b{n}:1", "b", 3 + n) for n in range(2)]


SEEDS = [Member("seed a0:1", "a0:1", ""), Member("seed b1:1", "b1:1", "")]


class FakeSubscription:
    def __init__(self, member, wants_records, opened_at):
        self.member = member
        self.wants_records = wants_records
        self.opened_at = opened_at
        self.ended = False
        self.closed = False
        self.reads = True

    def start(self):
        pass

    def close(self):
        self.ended = True
        self.closed = True


class World:
    def __init__(self, name, members=MEMBERS):
        self.clock = ManualClock(now=10_000)
        self.beliefs = Beliefs(self.clock)
        self.opened = []
        self.reads_fail = False
        me = next(member for member in [*MEMBERS, *members] if member.name == name)
        self.sources = Sources(
            me,
            SEEDS,
            self.beliefs,
            self._subscribe,
            lambda: self.reads_fail,
            self.clock,
        )
        for member in members:
            self.beliefs.learn(member)
        self.note_fresh()

    def _subscribe(self, member, wants_records):
        subscription = FakeSubscription(member, wants_records, self.clock.now())
        self.opened.append(subscription)
        return subscription

    def note_fresh(self, topics=(Topic.OPERATOR, Topic.UPSTREAMS)):
        for topic in topics:
            self.beliefs.mark_read_up_to(topic, 1, self.clock.now())

    def live(self, wants_records=True):
        return [
            item.member.name
            for item in self.opened
            if not item.ended and item.wants_records is wants_records
        ]


def test_the_first_of_a_data_centre_reads_and_follows_the_other_firsts():
    world = World("a0")
    world.sources.step()
    assert world.sources.should_read()
    assert world.live() == []
    assert world.live(wants_records=False) == ["b0"]


def test_the_others_follow_the_first_and_read_nothing():
    world = World("a2")
    world.sources.step()
    assert world.live() == ["a0"]
    assert not world.sources.should_read()


@pytest.mark.parametrize("topic", [Topic.OPERATOR, Topic.UPSTREAMS])
def test_a_router_whose_news_of_one_topic_grow_old_reads_itself(topic):
    world = World("a2")
    world.sources.step()
    world.clock.advance(FRESH + 1)
    world.note_fresh({Topic.OPERATOR, Topic.UPSTREAMS} - {topic})
    assert world.sources.should_read()
    world.note_fresh([topic])
    assert not world.sources.should_read()


def test_a_router_goes_on_reading_while_the_one_that_it_follows_does_not():
    world = World("a2")
    world.sources.step()
    world.opened[0].reads = False
    for _ in range(3):
        world.clock.advance(FRESH // 2)
        world.note_fresh()
        assert world.sources.should_read()
    world.opened[0].reads = True
    assert not world.sources.should_read()


def test_a_router_whose_news_grow_old_reads_itself():
    world = World("a2")
    world.sources.step()
    world.clock.advance(FRESH + 1)
    assert world.sources.should_read()
    world.note_fresh()
    assert not world.sources.should_read()


def test_the_next_takes_over_where_the_first_fails():
    world = World("a1")
    world.sources.step()
    assert world.live() == ["a0"]
    world.opened[-1].ended = True
    world.sources.step()
    assert world.sources.is_leader()
    world.clock.advance(60_000)
    world.sources.step()
    assert not world.sources.is_leader()


@pytest.mark.parametrize("name", ["a0", "a2"])
def test_a_router_cut_off_from_the_store_asks_one_member_after_the_other(name):
    world = World(name)
    world.sources.step()
    world.reads_fail = True
    asked = set()
    for _ in range(200):
        world.clock.advance(400)
        world.sources.step()
        asked.update(world.live())
    assert asked >= {member.name for member in MEMBERS} - {name}
    world.reads_fail = False
    world.sources.step()
    assert world.live() == ([] if name == "a0" else ["a0"])


def test_seeds_are_asked_where_the_store_is_away_at_the_start():
    world = World("a0", members=())
    world.reads_fail = True
    world.sources.step()
    assert world.live() == ["seed b1:1"]


def test_a_helper_with_fresh_news_is_kept():
    world = World("a0")
    world.reads_fail = True
    world.sources.step()
    helper = world.live()
    for _ in range(20):
        world.clock.advance(400)
        world.note_fresh()
        world.sources.step()
    assert world.live() == helper


MANY = [
    Member(f"{name}{n:02d}", f"{name}{n}:1", name, n, strength=strength)
    for name, strength in (("a", 50), ("b", 90), ("c", 70))
    for n in range(20)
]


def make_many(name):
    world = World(name, MANY)
    world.sources.step()
    return world


def test_two_leaders_read_and_the_others_follow_the_strongest():
    assert make_many("b00").sources.should_read()
    assert make_many("c00").sources.should_read()
    weakest = make_many("a00")
    assert not weakest.sources.should_read()
    assert weakest.live() == ["b00"]
    assert weakest.live(wants_records=False) == ["c00"]


def test_a_leader_without_news_from_the_strongest_reads():
    world = make_many("a00")
    assert world.live() == ["b00"]
    for subscription in world.opened:
        subscription.reads = False
    assert world.sources.should_read()


def test_members_far_behind_leave_reading_to_those_before_them():
    near, far = make_many("a03"), make_many("a12")
    for world in (near, far):
        world.clock.advance(FRESH + 1)
    assert near.sources.should_read()
    assert not far.sources.should_read()
    far.clock.advance(LONGEST_STAGGER)
    assert far.sources.should_read()


def test_a_router_that_starts_leaves_reading_to_the_one_that_it_follows():
    world = World("a12", MANY)
    world.beliefs.as_of_by_topic.update(dict.fromkeys(Topic, UNKNOWN))
    assert world.sources.should_read_members()
    world.sources.step()
    assert not world.sources.should_read()
    world.clock.advance(JOIN_TIME)
    assert world.sources.should_read()


def test_only_readers_read_who_the_members_are():
    worlds = {name: make_many(name) for name in ("b00", "c00", "a00", "a07")}
    for world in worlds.values():
        world.note_fresh([Topic.MEMBERS])
    readers = {
        name for name, world in worlds.items() if world.sources.should_read_members()
    }
    assert readers == {"b00", "c00"}
