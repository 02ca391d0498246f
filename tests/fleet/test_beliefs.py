"""The rules of merging: any order of telling gives the same beliefs, and never back."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.beliefs import Beliefs
from mulberryhub.fleet.records import (
    Configuration,
    KeptPart,
    Member,
    Removal,
    Rollout,
    State,
    Upstream,
    Weights,
)

IDS = ("u1", "u2", "u3")
MODEL = "m"


def make_upstream(id, offset, state=State.READY, version=1, started=0):
    return Upstream(
        id=id,
        service="s",
        address="a:1",
        data_centre="d",
        state=state,
        offset=offset,
        started=started,
        versions_by_model={MODEL: version},
    )


class Merging(RuleBasedStateMachine):
    """A store's log, told to two routers in any order, twice, or by a peer."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.log = []
        self.routers = [Beliefs(self.clock) for _ in range(2)]
        self.highest = [0, 0]

    @rule(id=st.sampled_from(IDS), state=st.sampled_from(list(State)))
    def upstream_writes(self, id, state):
        self.log.append(make_upstream(id, len(self.log), state))

    @rule(id=st.sampled_from(IDS))
    def upstream_lapses(self, id):
        self.log.append(Removal(id, len(self.log)))

    @rule()
    def operator_writes(self):
        version = len(self.log)
        self.log.append(Configuration(version, [], [], []))

    @rule(router=st.integers(0, 1), picks=st.lists(st.integers(0, 40), max_size=8))
    def store_tells(self, router, picks):
        for pick in picks:
            if pick < len(self.log):
                self.routers[router].learn(self.log[pick])

    @rule(router=st.integers(0, 1), since=st.integers(0, 20))
    def peer_tells(self, router, since):
        for record in self.routers[1 - router].changes_since(since):
            self.routers[router].learn(record)

    @rule(router=st.integers(0, 1))
    def restart(self, router):
        self.routers[router] = Beliefs(self.clock)
        self.highest[router] = 0

    @invariant()
    def nothing_goes_back(self):
        for index, router in enumerate(self.routers):
            if router.configuration is not None:
                assert router.configuration.version >= self.highest[index]
                self.highest[index] = router.configuration.version

    def teardown(self):
        newest = {}
        for record in self.log:
            if not isinstance(record, Configuration):
                newest[record.id] = record
        for router in self.routers:
            for record in reversed(self.log):
                router.learn(record)
            live = {id for id, item in newest.items() if isinstance(item, Upstream)}
            assert set(router.upstreams_by_id) == live
            for id in live:
                assert router.upstreams_by_id[id] == newest[id]


Merging.TestCase.settings = settings(max_examples=60, deadline=None)
TestMerging = Merging.TestCase


def make_beliefs():
    clock = ManualClock(now=1_000)
    return Beliefs(clock), clock


def test_a_restarted_upstream_starts_with_the_versions_that_it_names():
    beliefs, _ = make_beliefs()
    beliefs.learn(make_upstream("u1", 1, version=5, started=10))
    beliefs.learn(make_upstream("u1", 2, version=4, started=20))
    assert beliefs.version_at("u1", MODEL) == 4


def test_an_older_entry_does_not_lower_a_version_that_an_answer_showed():
    beliefs, _ = make_beliefs()
    beliefs.learn(make_upstream("u1", 1))
    beliefs.learn_version("u1", MODEL, 3)
    beliefs.learn(make_upstream("u1", 2, version=2))
    assert beliefs.version_at("u1", MODEL) == 3


def test_a_newer_fence_ends_an_older_rollout():
    beliefs, _ = make_beliefs()
    beliefs.learn_rollout(Rollout(fence=7, revision=1, loading=["u1"]))
    beliefs.learn_rollout(Rollout(fence=3, revision=9, loading=["u2"]))
    assert beliefs.loading_ids() == ["u1"]


def test_the_time_since_newer_weights_were_named_is_known():
    beliefs, clock = make_beliefs()
    beliefs.learn(Weights(MODEL, 1))
    beliefs.learn(Weights(MODEL, 2))
    clock.advance(500)
    beliefs.learn(Weights(MODEL, 3))
    clock.advance(500)
    assert beliefs.superseded_for(MODEL, 1) == 1_000
    assert beliefs.superseded_for(MODEL, 2) == 500
    assert beliefs.superseded_for(MODEL, 3) is None


def test_changes_are_told_once_and_only_the_newest():
    beliefs, _ = make_beliefs()
    beliefs.learn(Member("n1", "a:1", "d", 0))
    beliefs.learn(make_upstream("u1", 1))
    reached = beliefs.revision
    beliefs.learn(make_upstream("u1", 2, state=State.DRAINING))
    beliefs.learn(Removal("u1", 3))
    assert beliefs.changes_since(reached) == [Removal("u1", 3)]
    assert len(beliefs.changes_since(0)) == 2


def test_a_store_of_kept_cache_that_restarts_holds_nothing():
    beliefs, _ = make_beliefs()
    beliefs.learn(KeptPart("s", "p", 100, epoch=1, number=5))
    assert beliefs.kept.holds("s", "p")
    beliefs.learn(KeptPart("s", "q", 100, epoch=2, number=1))
    assert not beliefs.kept.holds("s", "p")
    beliefs.learn(KeptPart("s", "q", 0, epoch=2, number=2))
    assert not beliefs.kept.holds("s", "q")
