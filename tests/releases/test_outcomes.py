from mulberryhub.fleet.records import Usage
from mulberryhub.releases.outcomes import (
    ROUTE_GROUPS,
    OutcomeRecorder,
    Outcomes,
    Result,
    release_tag,
    route_group,
)


def recorder_with(version, route="chat", requests=1):
    recorder = OutcomeRecorder()
    recorder.reset("llm/a", 7)
    for _ in range(requests):
        recorder.record_sent("llm/a", route, version)
        recorder.record_first_byte("llm/a", route, version, 90)
        recorder.record("llm/a", route, version, Result.FAILED, 20)
    return recorder


def test_counts_of_routers_add_up():
    """Guards against keys that differ between routers or mix up names."""
    sums = Usage(demand_by_service=recorder_with("v/2", requests=3).counts())
    sums.add(Usage(demand_by_service=recorder_with("v/2").counts()))
    sums.add(Usage(demand_by_service=recorder_with(None).counts()))
    outcomes = Outcomes.from_counts(sums.demand_by_service, "llm/a", "v/2", 7)
    group = route_group("chat")
    assert outcomes.target(group).failed == 4
    assert sum(outcomes.target(group).first_bytes) == 4
    assert sum(outcomes.target(group).pauses) == 4
    assert outcomes.old(group).failed == 1
    assert (outcomes.exposed, outcomes.received) == (4, 5)


def test_other_releases_and_odd_keys_count_for_nothing():
    """Guards against outcomes of an earlier order, and against failing decoders."""
    counts = recorder_with("v2").counts()
    tag = release_tag("llm/a", 7)
    odd = dict.fromkeys([tag, f"{tag}0s", f"{tag}zs/v2", f"{tag}1t99/v2"], 1)
    assert Outcomes.from_counts(counts, "llm/a", "v2", 8).received == 0
    outcomes = Outcomes.from_counts(odd, "llm/a", "v2", 7)
    assert (outcomes.exposed, outcomes.received) == (0, 0)


def test_counts_are_bounded_and_empty_without_release():
    """Guards against reports that grow with the routes or go on after a release."""
    recorder = OutcomeRecorder()
    recorder.record("llm", "chat", "v1", Result.SERVED)
    assert recorder.counts() == {}
    recorder.reset("llm")
    for number in range(1_000):
        recorder.record("llm", f"route-{number}", "v1", Result.SERVED)
    assert len(recorder.counts()) == ROUTE_GROUPS
    recorder.stop("llm")
    assert recorder.counts() == {}


def test_order_that_is_read_again_keeps_its_counts():
    """Guards against outcomes that are lost with each update of the state."""
    recorder = recorder_with("v2")
    counts = recorder.counts()
    recorder.reset("llm/a", 7)
    assert recorder.counts() == counts
    recorder.reset("llm/a", 8)
    assert recorder.counts() == {}
