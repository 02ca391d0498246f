import pytest
from hypothesis import given, settings, strategies as st

from mulberryhub.base.errors import ApiError, ErrorCode
from mulberryhub.gateway.resume_token import ResumeTokenSigner, StreamOrigin

SIGNER = ResumeTokenSigner("a secret")
ORIGIN = StreamOrigin("hotels", "engine-1", "0123abcd", "request.1")
TEXTS = st.text(max_size=40)


def verify_error(token, workspace_id="hotels", signer=SIGNER):
    with pytest.raises(ApiError) as raised:
        signer.verify(token, workspace_id)
    return raised.value.code


@settings(derandomize=True, deadline=None, max_examples=200)
@given(TEXTS, TEXTS, TEXTS, st.integers(0, 2**40))
def test_token_encodes_stream_and_position(engine, incarnation, request_id, position):
    origin = StreamOrigin("hotels", engine, incarnation, request_id)
    point = SIGNER.verify(SIGNER.tokens_of(origin).token(position), "hotels")
    assert point.position == position
    assert point.origin.engine == engine
    assert point.origin.incarnation == incarnation
    assert point.origin.request_id == request_id


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.integers(0, 10_000), st.characters(codec="ascii"))
def test_modified_token_is_rejected(index, character):
    token = SIGNER.tokens_of(ORIGIN).token(17)
    index %= len(token)
    modified = token[:index] + character + token[index + 1 :]
    if modified != token:
        assert verify_error(modified) is ErrorCode.BAD_RESUME_TOKEN


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.text(max_size=200))
def test_arbitrary_text_is_rejected(text):
    assert verify_error(text) is ErrorCode.BAD_RESUME_TOKEN


def test_token_of_another_workspace_or_secret_is_rejected():
    token = SIGNER.tokens_of(ORIGIN).token(17)
    assert verify_error(token, workspace_id="installers") is ErrorCode.BAD_RESUME_TOKEN
    other_signer = ResumeTokenSigner("another secret")
    assert verify_error(token, signer=other_signer) is ErrorCode.BAD_RESUME_TOKEN
