from functools import reduce

from hypothesis import given, strategies as st

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.beliefs import Beliefs
from mulberryhub.fleet.records import CONDEMNING, EndedRun, Suspect, Verdict
from mulberryhub.fleet.suspects import (
    KEPT_TIME,
    MOST_ENDED,
    MOST_SUSPECTS,
    Suspects,
    merge,
)

RUNS = st.builds(
    EndedRun, st.sampled_from("abcdefghijkl"), st.integers(0, 1), st.booleans()
)
ENDED = st.lists(
    RUNS, max_size=MOST_ENDED, unique_by=lambda run: (run.upstream, run.started)
)
SUSPECTS = st.builds(Suspect, st.just("f"), st.integers(0, 2), ENDED)


def ended(*upstreams, is_repeat=False):
    return [EndedRun(upstream, 1, is_repeat) for upstream in upstreams]


def learn_all(suspects):
    table = Suspects(ManualClock())
    for suspect in suspects:
        table.learn(suspect)
    return table.get("f")


@given(st.lists(SUSPECTS, max_size=6), st.randoms())
def test_the_order_in_which_routers_are_told_does_not_matter(told, random):
    shuffled = told * 2
    random.shuffle(shuffled)
    assert learn_all(shuffled) == learn_all(told)


@given(st.lists(SUSPECTS, min_size=1, max_size=6))
def test_what_is_merged_already_is_nothing_new(told):
    whole = reduce(merge, told, Suspect("f"))
    assert len(whole.ended) <= MOST_ENDED
    for suspect in told:
        assert merge(whole, suspect) is whole


def test_three_upstreams_condemn_if_one_ended_under_a_repeat():
    table = Suspects(ManualClock())
    table.learn(Suspect("f", 0, ended("a", "b")))
    table.learn(Suspect("f", 0, ended("b", is_repeat=True)))
    assert not table.get("f").is_condemned
    table.learn(Suspect("f", 0, ended("c")))
    assert table.get("f").is_condemned


def test_upstreams_that_ended_at_once_leave_a_request_doubtful():
    table = Suspects(ManualClock())
    table.learn(Suspect("f", 0, ended("a", "b", "c", "d")))
    assert table.get("f").is_doubtful
    assert not table.get("f").is_condemned


def test_one_upstream_ends_once_however_often_it_is_told():
    table = Suspects(ManualClock())
    for _ in range(2 * CONDEMNING):
        table.learn(Suspect("f", 0, ended("a", is_repeat=True)))
    assert not table.get("f").is_condemned


def test_a_good_end_voids_what_was_seen_before_also_where_it_is_told_late():
    table = Suspects(ManualClock())
    table.learn(Suspect("f", 0, ended("a", "b", "c", is_repeat=True)))
    table.learn(Suspect("f", 1))
    table.learn(Suspect("f", 0, ended("d", is_repeat=True)))
    assert table.get("f").ended == []


def test_suspects_are_forgotten_after_their_time():
    clock = ManualClock()
    table = Suspects(clock)
    table.learn(Suspect("f", 0, ended("a", "b", "c", is_repeat=True)))
    clock.advance(KEPT_TIME - 1)
    assert table.get("f").is_condemned
    clock.advance(1)
    assert not table.get("f").ended


def test_their_number_is_bounded_here_and_in_what_others_are_told():
    beliefs = Beliefs(ManualClock())
    for number in range(MOST_SUSPECTS + 50):
        beliefs.learn(Suspect(f"f{number}", 0, ended("a")))
    told = beliefs.observations_since(0)
    assert len(beliefs.suspects) == len(told) == MOST_SUSPECTS
    assert told[-1].fingerprint == f"f{MOST_SUSPECTS + 49}"


def test_a_router_is_not_told_what_it_said_itself():
    beliefs = Beliefs(ManualClock())
    beliefs.learn(Suspect("f", 0, ended("a")), "n2")
    assert beliefs.observations_since(0, but_of="n2") == []
    assert len(beliefs.observations_since(0, but_of="n3")) == 1
    beliefs.learn(Suspect("f", 0, ended("b")))
    assert len(beliefs.observations_since(0, but_of="n2")[0].ended) == 2


def test_a_kept_verdict_counts_for_its_time():
    clock = ManualClock()
    verdict = Verdict(
        Suspect("f", 0, ended("a", "b", "c", is_repeat=True)), clock.wall()
    )
    clock.advance(KEPT_TIME - 1)
    beliefs = Beliefs(clock)
    beliefs.learn(verdict)
    assert beliefs.suspects.get("f").is_condemned
    assert len(beliefs.observations_since(0)) == 1
    clock.advance(1)
    late = Beliefs(clock)
    late.learn(verdict)
    assert not late.suspects.get("f").is_condemned
