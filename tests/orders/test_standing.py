from hypothesis import given, settings, strategies as st

from mulberryhub.orders.records import Claim, Release, Result
from mulberryhub.orders.standing import (
    KEY_WINDOW,
    MAX_CLOCK_LEAD,
    Entry,
    standing_of,
)

KEY = b"key"
TIME = 1_700_000_000_000


def claim(nonce, time=TIME):
    return Claim(KEY, nonce, time, b"fingerprint")


def entries_of(*records, time=TIME):
    return [Entry(index, time, record) for index, record in enumerate(records)]


def test_first_claim_wins():
    standing = standing_of(entries_of(claim(b"1"), claim(b"2")))
    assert standing.held_by(b"1")


def test_released_claim_makes_way_for_later_ones_only():
    entries = entries_of(claim(b"1"), claim(b"2"), Release(KEY, b"1"), claim(b"3"))
    assert standing_of(entries).held_by(b"3")


def test_release_before_its_claim_voids_it():
    entries = entries_of(Release(KEY, b"1"), claim(b"1"), claim(b"2"))
    assert standing_of(entries).held_by(b"2")


def test_release_after_a_result_is_ignored():
    result = Result(KEY, b"1", 200)
    standing = standing_of(entries_of(claim(b"1"), result, Release(KEY, b"1")))
    assert standing.held_by(b"1")
    assert standing.result.record is result


def test_claim_outside_its_time_is_void():
    for time in (TIME - MAX_CLOCK_LEAD - 1, TIME + KEY_WINDOW + 1):
        assert standing_of(entries_of(claim(b"1"), time=time)).claim is None


NONCES = st.sampled_from([b"1", b"2", b"3"])
RECORDS = st.one_of(
    NONCES.map(claim),
    NONCES.map(lambda nonce: Release(KEY, nonce)),
    NONCES.map(lambda nonce: Result(KEY, nonce, 200)),
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.lists(RECORDS, max_size=12))
def test_a_claim_in_force_stays_until_its_own_release(records):
    holder = None
    for length in range(len(records) + 1):
        standing = standing_of(entries_of(*records[:length]))
        last = records[length - 1] if length else None
        if holder is not None and not standing.held_by(holder):
            assert isinstance(last, Release) and last.nonce == holder
        holder = standing.claim.record.nonce if standing.claim else None
