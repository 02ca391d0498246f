"""Which suspects are blamed for the crashes of upstreams."""

from string import ascii_letters

import pytest

from mulberryhub.fleet.blame import SETTLE_MS, find_verdicts
from mulberryhub.fleet.records import CrashedRun, Suspect

NOW = 100_000
LAST_CRASH_AT = NOW - SETTLE_MS
ALL = "abcdefgh"


def suspect(
    fingerprint, crashes, requests=None, breadth=1, is_repeat=True, was_answering=False
):
    """Return a Suspect with one crashed run for each letter of `crashes`."""
    requests = requests or crashes
    runs = [
        CrashedRun(upstream, 1, is_repeat, request, was_answering)
        for upstream, request in zip(crashes, requests)
    ]
    return Suspect(fingerprint, 0, runs, breadth)


def find(*suspects, crashes=ALL, blamed_before=(), now=NOW):
    """Return the verdicts if `crashes` became known a second after one another."""
    crashed_at_by_incarnation = {
        (upstream, 1): LAST_CRASH_AT - 1_000 * age
        for age, upstream in enumerate(reversed(crashes))
    }
    return find_verdicts(
        suspects, crashed_at_by_incarnation, frozenset(blamed_before), now
    )


def test_part_that_explains_all_crashes_is_blamed():
    verdicts = find(suspect("bad", "abc"), suspect("beside", "ab"), crashes="abc")
    assert verdicts.blamed == {"bad"}
    assert verdicts.open == frozenset()


def test_nobody_is_blamed_before_all_reports_have_arrived():
    verdicts = find(suspect("bad", "abc"), crashes="abc", now=NOW - 1)
    assert verdicts.blamed == frozenset()
    assert verdicts.open == {"bad"}


def test_nobody_is_blamed_while_two_explain_the_crashes_equally():
    bad, beside = suspect("bad", "abc"), suspect("beside", "abc", "xyz")
    assert find(bad, beside, crashes="abc").open == {"bad", "beside"}
    one_more = find(suspect("bad", "abcd"), beside, crashes="abcd")
    assert one_more.blamed == {"bad"}
    assert one_more.open == frozenset()


def test_narrowest_of_those_in_the_same_runs_is_blamed():
    request = suspect("request", "abc", "rrr", breadth=0)
    parts = [suspect("deep", "abc", "rrr"), suspect("top", "abc", "rrr", breadth=2)]
    assert find(*parts, request, crashes="abc").blamed == {"request"}


def test_part_of_a_request_that_was_repeated_is_not_blamed_for_it_alone():
    assert find(suspect("part", "abc", "rrs"), crashes="abc").blamed == frozenset()
    assert find(suspect("part", "abcd", "rrst"), crashes="abcd").blamed == {"part"}


def test_wider_part_is_blamed_once_a_crash_lacks_the_narrower_one():
    narrow, wide = suspect("narrow", "abc"), suspect("wide", "abcd", breadth=2)
    verdicts = find(narrow, wide, crashes="abcd", blamed_before=["narrow"])
    assert verdicts.blamed == {"wide"}


@pytest.mark.parametrize(
    "crashes, is_blamed",
    [
        ("abc", True),
        ("abd", False),
        ("abce", True),
        ("abcg", False),
        ("abcgh", True),
    ],
)
def test_part_must_explain_the_more_crashes_the_fewer_there_are(crashes, is_blamed):
    verdicts = find(suspect("part", crashes))
    assert verdicts.blamed == ({"part"} if is_blamed else frozenset())


@pytest.mark.parametrize("others", [0, 1, 3, 9])
@pytest.mark.parametrize("was_answering", [False, True])
def test_request_is_blamed_after_five_crashes_however_often_others_crash(
    others, was_answering
):
    # Guards against a request that is refused too late while upstreams crash often.
    letters = ascii_letters[: 5 * (others + 1)]
    crashes = letters[:: others + 1]
    request = suspect("r", crashes, "rrrrr", breadth=0, was_answering=was_answering)
    verdicts = find(request, crashes=letters)
    is_blamed = not was_answering
    assert verdicts.blamed == ({"r"} if is_blamed else frozenset())


@pytest.mark.parametrize("crash_count, is_blamed", [(3, False), (5, False), (6, True)])
def test_request_that_was_being_answered_is_blamed_after_more_crashes(
    crash_count, is_blamed
):
    # Guards against long sound answers that upstreams cut as they end by themselves.
    crashes = ascii_letters[:crash_count]
    request = suspect("r", crashes, "r" * crash_count, breadth=0, was_answering=True)
    verdicts = find(request, crashes=crashes)
    assert verdicts.blamed == ({"r"} if is_blamed else frozenset())


def test_two_requests_that_crash_upstreams_in_turn_are_both_blamed():
    # Guards against a request whose crashes are held against another's.
    letters = ascii_letters[:40]
    one = suspect("one", letters[0::8], "rrrrr", breadth=0)
    two = suspect("two", letters[4::8], "sssss", breadth=0)
    assert find(one, two, crashes=letters).blamed == {"one", "two"}


def test_upstreams_that_ended_together_prove_nothing():
    verdicts = find(suspect("part", "abcdef", is_repeat=False), crashes="abcdef")
    assert verdicts.blamed == frozenset()


def test_two_causes_of_different_crashes_are_both_blamed():
    verdicts = find(suspect("x", "aceg"), suspect("y", "bdfh"), suspect("z", "ab"))
    assert verdicts.blamed == frozenset()
    more = find(suspect("x", "acegi"), suspect("y", "bdfhj"), crashes="abcdefghij")
    assert more.blamed == {"x", "y"}


def test_blamed_suspect_stays_blamed_beside_later_crashes_of_others():
    verdicts = find(suspect("part", "abc"), blamed_before=["part"])
    assert verdicts.blamed == {"part"}
