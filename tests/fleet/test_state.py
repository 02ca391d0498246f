"""Tests of merging: any order of records gives the same state, never an older one."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from msgspec.structs import replace

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.records import (
    CachedPart,
    Configuration,
    Member,
    Removal,
    Upstream,
    UpstreamState,
    Weights,
)
from mulberryhub.fleet.rollout import Rollout
from mulberryhub.fleet.state import FleetState, Topic

IDS = ("u1", "u2", "u3")
MODEL = "m"


def make_upstream(id, offset, state=UpstreamState.READY, version=1, started=0):
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


class MergeMachine(RuleBasedStateMachine):
    """A store's log, delivered to two routers in any order, repeatedly or by a peer."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.store_log = []
        self.routers = [FleetState(self.clock) for _ in range(2)]
        self.highest_versions = [0, 0]

    @rule(id=st.sampled_from(IDS), state=st.sampled_from(list(UpstreamState)))
    def write_upstream(self, id, state):
        self.store_log.append(make_upstream(id, len(self.store_log), state))

    @rule(id=st.sampled_from(IDS))
    def expire_upstream(self, id):
        self.store_log.append(Removal(id, len(self.store_log)))

    @rule()
    def write_configuration(self):
        version = len(self.store_log)
        self.store_log.append(Configuration(version, [], [], []))

    @rule(router=st.integers(0, 1), indexes=st.lists(st.integers(0, 40), max_size=8))
    def deliver_from_store(self, router, indexes):
        for index in indexes:
            if index < len(self.store_log):
                self.routers[router].apply(self.store_log[index])

    @rule(router=st.integers(0, 1), since=st.integers(0, 20))
    def deliver_from_peer(self, router, since):
        for record in self.routers[1 - router].changes_since(since):
            self.routers[router].apply(record)

    @rule(router=st.integers(0, 1))
    def restart(self, router):
        self.routers[router] = FleetState(self.clock)
        self.highest_versions[router] = 0

    @invariant()
    def configuration_version_never_decreases(self):
        for index, router in enumerate(self.routers):
            if router.configuration is not None:
                assert router.configuration.version >= self.highest_versions[index]
                self.highest_versions[index] = router.configuration.version

    def teardown(self):
        newest = {}
        for record in self.store_log:
            if not isinstance(record, Configuration):
                newest[record.id] = record
        for router in self.routers:
            for record in reversed(self.store_log):
                router.apply(record)
            live = {id for id, item in newest.items() if isinstance(item, Upstream)}
            assert set(router.upstreams_by_id) == live
            for id in live:
                assert router.upstreams_by_id[id] == newest[id]


MergeMachine.TestCase.settings = settings(max_examples=60, deadline=None)
TestMerge = MergeMachine.TestCase


def make_fleet_state():
    clock = ManualClock(now=1_000)
    return FleetState(clock), clock


def test_restarted_upstream_has_only_its_new_versions():
    fleet_state, _ = make_fleet_state()
    fleet_state.apply(make_upstream("u1", 1, version=5, started=10))
    fleet_state.apply(make_upstream("u1", 2, version=4, started=20))
    assert fleet_state.version_at("u1", MODEL) == 4


def test_older_record_does_not_lower_version_from_answer():
    fleet_state, _ = make_fleet_state()
    fleet_state.apply(make_upstream("u1", 1))
    fleet_state.record_version("u1", MODEL, 3)
    fleet_state.apply(make_upstream("u1", 2, version=2))
    assert fleet_state.version_at("u1", MODEL) == 3


def test_rollout_with_older_fence_is_ignored():
    fleet_state, _ = make_fleet_state()
    fleet_state.apply_rollout(Rollout(fence=7, revision=1, loading=["u1"]))
    fleet_state.apply_rollout(Rollout(fence=3, revision=9, loading=["u2"]))
    assert fleet_state.loading_ids() == ["u1"]


def test_superseded_for_returns_time_since_newer_version_was_named():
    fleet_state, clock = make_fleet_state()
    fleet_state.apply(Weights(MODEL, 1))
    fleet_state.mark_read_up_to(Topic.OPERATOR, 0, clock.now())
    fleet_state.apply(Weights(MODEL, 2))
    clock.advance(500)
    fleet_state.mark_read_up_to(Topic.OPERATOR, 0, clock.now())
    fleet_state.apply(Weights(MODEL, 3))
    clock.advance(500)
    assert fleet_state.named_weights.time_since_superseded(MODEL, 1) == 1_000
    assert fleet_state.named_weights.time_since_superseded(MODEL, 2) == 500
    assert fleet_state.named_weights.time_since_superseded(MODEL, 3) is None


def test_changes_since_returns_only_newest_record_of_each_key():
    fleet_state, _ = make_fleet_state()
    fleet_state.apply(Member("n1", "a:1", "d", 0))
    fleet_state.apply(make_upstream("u1", 1))
    reached = fleet_state.revision
    fleet_state.apply(make_upstream("u1", 2, state=UpstreamState.DRAINING))
    fleet_state.apply(Removal("u1", 3))
    assert fleet_state.changes_since(reached) == [Removal("u1", 3)]
    assert len(fleet_state.changes_since(0)) == 2


def test_restart_of_cache_store_clears_its_index():
    fleet_state, _ = make_fleet_state()
    fleet_state.apply(CachedPart("s", "p", 100, epoch=1, number=5))
    assert fleet_state.cache_index.holds("s", "p")
    fleet_state.apply(CachedPart("s", "q", 100, epoch=2, number=1))
    assert not fleet_state.cache_index.holds("s", "p")
    fleet_state.apply(CachedPart("s", "q", 0, epoch=2, number=2))
    assert not fleet_state.cache_index.holds("s", "q")


def test_change_of_software_version_is_sent_to_other_routers():
    fleet_state = FleetState(ManualClock())
    fleet_state.apply(replace(make_upstream("u1", 1), software_version="4.1"))
    revision = fleet_state.revision
    changed = replace(make_upstream("u1", 2), software_version="4.2")
    fleet_state.apply(changed)
    assert fleet_state.changes_since(revision) == [changed]
