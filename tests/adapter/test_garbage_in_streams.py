"""Bytes that no run made must not reach the client of a stream (ORDER).

The router is a process of its own; the workers are stand-ins.
"""

from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.adapter.garbled_streams import (
    EVENT_COUNT,
    EVENTS,
    FRAMINGS,
    GARBAGE_BY_NAME,
    GARBLED_TWICE,
    MAX_CONCURRENT_CASES,
    PLACES,
    PREFIXES,
    Case,
    ask,
    cases_of,
    fault_of,
    find_faults,
    garbled_platform,
)

SPLIT_GARBAGE = b"event: error\r\ndata: junk\r\n\r\n"
WHOLE = b"".join(EVENTS)


def make_case(place, framing, ending):
    return Case("data_without_id", place, framing, ending)


@pytest.fixture
def own_platform(tmp_path):
    with garbled_platform(tmp_path) as fleet:
        yield fleet


@pytest.fixture(scope="module")
def platform(tmp_path_factory):
    with garbled_platform(tmp_path_factory.mktemp("platform")) as fleet:
        yield fleet


@pytest.fixture(scope="module")
def platform_of_two_routers(tmp_path_factory):
    with garbled_platform(tmp_path_factory.mktemp("two_routers"), routers=2) as fleet:
        yield fleet


@pytest.mark.parametrize("garbage", GARBAGE_BY_NAME)
def test_bytes_that_no_run_made_do_not_reach_the_client(platform, garbage):
    assert find_faults(platform, cases_of(garbage)) == {}


def test_garbage_does_not_reach_the_client_wherever_it_is_split(platform, monkeypatch):
    monkeypatch.setitem(GARBAGE_BY_NAME, "split", SPLIT_GARBAGE)
    cuts = range(1, len(SPLIT_GARBAGE))
    cases = [Case("split", "inside", "chunked", "goes_on", cut) for cut in cuts]
    assert find_faults(platform, cases) == {}


# A router that has just started may try few streams again.
@pytest.mark.parametrize(
    "place, framing, ending",
    [
        ("before", "chunked", "reset"),
        ("inside", "closed", "complete"),
        ("behind", "chunked", "goes_on"),
    ],
)
def test_stream_goes_on_elsewhere_after_garbage(own_platform, place, framing, ending):
    answer = ask(own_platform, "resumable", make_case(place, framing, ending))
    assert (answer.status, answer.body, answer.is_complete) == (200, WHOLE, True)


@pytest.mark.parametrize("place", PLACES)
def test_garbage_of_a_second_upstream_does_not_reach_the_client(own_platform, place):
    case = make_case(place, "chunked", "complete")
    answer = ask(own_platform, "resumable", case, GARBLED_TWICE)
    assert fault_of(answer) is None
    assert not answer.is_complete or answer.status == 502


def test_event_that_the_client_has_is_not_sent_again_after_a_take_up(own_platform):
    case = Case("earlier_event", "before", "chunked", "goes_on")
    answer = ask(own_platform, "resumable", case, Last_Event_Id="2")
    assert (answer.status, answer.body) == (200, b"".join(EVENTS[2:]))


# The client has two events, so garbage "inside" comes first in the second answer.
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("place", ["inside", "behind"])
def test_garbage_does_not_reach_a_client_that_goes_on_at_another_router(
    platform_of_two_routers, place, framing
):
    fleet = platform_of_two_routers
    first = make_case("inside", framing, "reset")
    assert ask(fleet, "resumable", first, GARBLED_TWICE).body in PREFIXES[:3]
    rests = [b"".join(EVENTS[2:length]) for length in range(2, EVENT_COUNT + 1)]

    def go_on(garbage):
        case = Case(garbage, place, framing, "goes_on")
        return ask(fleet, "resumable", case, router=1, Last_Event_Id="2")

    with ThreadPoolExecutor(MAX_CONCURRENT_CASES) as executor:
        answers = dict(zip(GARBAGE_BY_NAME, executor.map(go_on, GARBAGE_BY_NAME)))
    for answer in answers.values():
        assert answer.body in rests
        assert not answer.is_complete or answer.body == rests[-1]
