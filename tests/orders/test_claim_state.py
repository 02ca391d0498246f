from hypothesis import given, settings, strategies as st

from mulberryhub.orders.claim_state import (
    KEY_VALIDITY_MS,
    MAX_CLOCK_LEAD_MS,
    Entry,
    resolve_claims,
)
from mulberryhub.orders.records import Claim, Release, Result

KEY = b"key"
CREATED_MS = 1_700_000_000_000


def make_claim(nonce, created_ms=CREATED_MS):
    return Claim(KEY, nonce, created_ms, b"fingerprint")


def make_entries(*records, time_ms=CREATED_MS):
    return [Entry(index, time_ms, record) for index, record in enumerate(records)]


def test_first_claim_wins():
    state = resolve_claims(make_entries(make_claim(b"1"), make_claim(b"2")))
    assert state.is_held_by(b"1")


def test_after_a_release_only_a_later_claim_wins():
    entries = make_entries(
        make_claim(b"1"), make_claim(b"2"), Release(KEY, b"1"), make_claim(b"3")
    )
    assert resolve_claims(entries).is_held_by(b"3")


def test_release_before_its_claim_voids_the_claim():
    entries = make_entries(Release(KEY, b"1"), make_claim(b"1"), make_claim(b"2"))
    assert resolve_claims(entries).is_held_by(b"2")


def test_release_after_a_result_is_ignored():
    result = Result(KEY, b"1", 200)
    state = resolve_claims(make_entries(make_claim(b"1"), result, Release(KEY, b"1")))
    assert state.is_held_by(b"1")
    assert state.result.record is result


def test_claim_outside_the_window_of_its_key_is_void():
    for time_ms in (
        CREATED_MS - MAX_CLOCK_LEAD_MS - 1,
        CREATED_MS + KEY_VALIDITY_MS + 1,
    ):
        assert (
            resolve_claims(make_entries(make_claim(b"1"), time_ms=time_ms)).claim
            is None
        )


NONCES = st.sampled_from([b"1", b"2", b"3"])
RECORDS = st.one_of(
    NONCES.map(make_claim),
    NONCES.map(lambda nonce: Release(KEY, nonce)),
    NONCES.map(lambda nonce: Result(KEY, nonce, 200)),
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.lists(RECORDS, max_size=12))
def test_claim_in_force_ends_only_by_its_own_release(records):
    holder_nonce = None
    for length in range(len(records) + 1):
        state = resolve_claims(make_entries(*records[:length]))
        last = records[length - 1] if length else None
        if holder_nonce is not None and not state.is_held_by(holder_nonce):
            assert isinstance(last, Release) and last.nonce == holder_nonce
        holder_nonce = state.claim.record.nonce if state.claim else None
