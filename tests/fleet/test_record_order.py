"""Records of each kind, in any order and repeated, give all routers the same state."""

from hypothesis import example, given, strategies as st

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.records import (
    CachedPart,
    Configuration,
    Departure,
    Member,
    RateLimit,
    Removal,
    Upstream,
    UpstreamState,
    Weights,
)
from mulberryhub.fleet.rollout import Rollout
from mulberryhub.fleet.state import FleetState

IDS = ("u1", "u2")
MODELS = ("m1", "m2")
DATA_CENTRES = ("d1", "d2")
MOVED_MEMBER = [Member("n1", "a:1", "d1", 0), Member("n1", "a:2", "d2", 1)]
SMALL = st.integers(0, 3)
VERSIONS = st.fixed_dictionaries(dict.fromkeys(MODELS, st.integers(1, 4)))


def in_two_orders(records):
    return st.tuples(st.permutations(records), st.permutations(records * 2))


def unique_lists(records, key):
    return st.lists(records, max_size=6, unique_by=key).flatmap(in_two_orders)


def merged(records):
    fleet_state = FleetState(ManualClock(now=1_000))
    for record in records:
        if isinstance(record, Rollout):
            fleet_state.apply_rollout(record)
        else:
            fleet_state.apply(record)
    return fleet_state


def running(id, started):
    return Upstream(id, "s", "a:1", "d1", UpstreamState.READY, 0, started)


def each_incarnation(read):
    return [read(running(id, started)) for id in IDS for started in range(4)]


def versions_running(fleet_state):
    return [fleet_state.version_at(id, model) for id in IDS for model in MODELS]


@st.composite
def upstream_logs(draw):
    """Draw records as the store orders them; versions only rise within a start."""
    records = []
    newest_by_id = {}
    for offset in range(draw(st.integers(0, 6))):
        id = draw(st.sampled_from(IDS))
        newest = newest_by_id.get(id)
        if newest is not None and draw(st.booleans()):
            records.append(Removal(id, offset))
            continue
        versions = draw(VERSIONS)
        started = 1 if newest is None else newest.started + draw(st.integers(0, 1))
        if newest is not None and newest.started == started:
            known = newest.versions_by_model
            versions = {model: max(versions[model], known[model]) for model in MODELS}
        state = draw(st.sampled_from(list(UpstreamState)))
        newest = Upstream(id, "s", "a:1", "d1", state, offset, started, 0, versions)
        newest_by_id[id] = newest
        records.append(newest)
    return records


@given(upstream_logs().flatmap(in_two_orders))
def test_upstreams_and_removals(orders):
    one, other = map(merged, orders)
    assert one.upstreams_by_id == other.upstreams_by_id
    assert versions_running(one) == versions_running(other)


@given(
    unique_lists(
        st.builds(
            Rollout,
            SMALL,
            SMALL,
            st.lists(st.sampled_from(IDS), unique=True),
            st.dictionaries(st.sampled_from(IDS), VERSIONS),
        ),
        lambda rollout: rollout.order,
    )
)
def test_rollouts(orders):
    one, other = map(merged, orders)
    assert one.rollout == other.rollout
    assert one.loading_ids() == other.loading_ids()


@given(unique_lists(st.builds(Configuration, SMALL, *[st.just([])] * 3), repr))
def test_configurations(orders):
    one, other = map(merged, orders)
    assert one.configuration == other.configuration


@given(unique_lists(st.builds(Weights, st.sampled_from(MODELS), SMALL), repr))
def test_weights(orders):
    one, other = map(merged, orders)
    for model in MODELS:
        newest = one.named_weights.newest(model)
        assert newest == other.named_weights.newest(model)


@given(
    unique_lists(
        st.builds(
            Member,
            st.sampled_from(("n1", "n2", "n3")),
            st.sampled_from(("a:1", "a:2")),
            st.sampled_from(DATA_CENTRES),
            st.integers(0, 5),
            st.integers(0, 1),
        ),
        lambda member: member.offset,
    )
)
@example((MOVED_MEMBER, MOVED_MEMBER[::-1]))
def test_members(orders):
    one, other = map(merged, orders)
    assert one.members_by_name == other.members_by_name
    for data_centre in DATA_CENTRES:
        assert one.ranked_by_data_centre.get(
            data_centre, []
        ) == other.ranked_by_data_centre.get(data_centre, [])


@given(
    unique_lists(
        st.builds(
            Departure, st.sampled_from(IDS), SMALL, st.sampled_from(("n1", "n2"))
        ),
        repr,
    )
)
def test_departures(orders):
    one, other = map(merged, orders)
    assert each_incarnation(one.is_shutting_down) == each_incarnation(
        other.is_shutting_down
    )


@given(
    unique_lists(
        st.builds(
            RateLimit,
            st.sampled_from(IDS),
            SMALL,
            SMALL,
            st.none() | st.sampled_from((0.0, 1.5, 4.0)),
        ),
        repr,
    )
)
def test_rate_limits(orders):
    one, other = map(merged, orders)
    assert each_incarnation(one.rate_limits.rate) == each_incarnation(
        other.rate_limits.rate
    )


def cached_parts(starts):
    parts = st.builds(
        CachedPart,
        st.just("s"),
        st.sampled_from(("p", "q")),
        st.sampled_from((0, 100)),
        st.integers(1, starts),
        st.integers(0, 5),
    )
    return unique_lists(parts, lambda part: (part.epoch, part.number))


def cached_ids(records):
    cache_index = merged(records).cache_index
    return [id for id in "pq" if cache_index.holds("s", id)]


@given(cached_parts(starts=1))
def test_cached_parts_of_one_start(orders):
    one, other = map(cached_ids, orders)
    assert one == other


TWO_STARTS = [CachedPart("s", "p", 0, 1, 0), CachedPart("s", "p", 100, 2, 0)]


@given(cached_parts(starts=2))
@example((TWO_STARTS, TWO_STARTS[::-1]))
def test_cached_parts_of_two_starts(orders):
    one, other = map(cached_ids, orders)
    assert one == other


@st.composite
def logs_with_rollout(draw):
    records = draw(upstream_logs())
    return [*records, Rollout(1, 1, [], {"u1": {"m1": 4, "m2": 4}})]


ROLLED_OUT = [
    Upstream("u1", "s", "a:1", "d1", UpstreamState.READY, 0, 1, 0, {"m1": 1}),
    Rollout(1, 1, [], {"u1": {"m1": 4}}),
]


@given(logs_with_rollout().flatmap(in_two_orders))
@example((ROLLED_OUT, ROLLED_OUT[::-1]))
def test_versions_of_a_rollout_and_of_upstreams(orders):
    one, other = map(merged, orders)
    assert versions_running(one) == versions_running(other)
