import pytest
from hypothesis import given, settings, strategies as st

from mulberryhub.base.errors import Code, HubError
from mulberryhub.gateway.resume_token import StreamOrigin, TokenSigner

SIGNER = TokenSigner("a secret")
ORIGIN = StreamOrigin("hotels", "engine-1", "0123abcd", "request.1")
TEXTS = st.text(max_size=40)


def refusal(token, workspace="hotels", signer=SIGNER):
    with pytest.raises(HubError) as raised:
        signer.check(token, workspace)
    return raised.value.code


@settings(derandomize=True, deadline=None, max_examples=200)
@given(TEXTS, TEXTS, TEXTS, st.integers(0, 2**40))
def test_token_carries_its_stream_and_position(engine, incarnation, stream, position):
    origin = StreamOrigin("hotels", engine, incarnation, stream)
    point = SIGNER.check(SIGNER.series(origin).token(position), "hotels")
    assert point.position == position
    assert point.origin.engine == engine
    assert point.origin.incarnation == incarnation
    assert point.origin.request_id == stream


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.integers(0, 10_000), st.characters(codec="ascii"))
def test_changed_token_is_refused(place, character):
    token = SIGNER.series(ORIGIN).token(17)
    place %= len(token)
    changed = token[:place] + character + token[place + 1 :]
    if changed != token:
        assert refusal(changed) is Code.BAD_RESUME_TOKEN


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.text(max_size=200))
def test_any_other_text_is_refused(text):
    assert refusal(text) is Code.BAD_RESUME_TOKEN


def test_token_of_another_workspace_or_secret_is_refused():
    token = SIGNER.series(ORIGIN).token(17)
    assert refusal(token, workspace="installers") is Code.BAD_RESUME_TOKEN
    other = TokenSigner("another secret")
    assert refusal(token, signer=other) is Code.BAD_RESUME_TOKEN
