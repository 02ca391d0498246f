import pytest

from mulberryhub.base.errors import ApiError, ErrorCode
from mulberryhub.gateway.completion_body import content_text, parse_body, parse_document

DEEPLY_NESTED_BODY = (
    b'{"model":"m","messages":[{"role":"user","content":' + b"[" * 100_000
)


@pytest.mark.parametrize(
    "data, code",
    [
        (b"", ErrorCode.MALFORMED_JSON),
        (b"{", ErrorCode.MALFORMED_JSON),
        (b"\xff", ErrorCode.MALFORMED_JSON),
        (DEEPLY_NESTED_BODY, ErrorCode.MALFORMED_JSON),
        (b"[]", ErrorCode.BAD_REQUEST),
        (b"{}", ErrorCode.BAD_REQUEST),
        (b'{"model":1,"messages":[{"role":"user"}]}', ErrorCode.BAD_REQUEST),
        (b'{"model":"m"}', ErrorCode.BAD_REQUEST),
        (b'{"model":"m","messages":[]}', ErrorCode.BAD_REQUEST),
        (b'{"model":"m","messages":[{"content":"x"}]}', ErrorCode.BAD_REQUEST),
        (b'{"model":"m","messages":[{"role":"user"}],"max_tokens":-1}', None),
        (
            b'{"model":"m","messages":[{"role":"user"}],"stream":1}',
            ErrorCode.BAD_REQUEST,
        ),
    ],
)
def test_invalid_bodies_are_rejected(data, code):
    with pytest.raises(ApiError) as raised:
        parse_body(data, is_chat=True)
    assert raised.value.code is (code or ErrorCode.BAD_REQUEST)


def test_prompt_must_be_a_string():
    with pytest.raises(ApiError):
        parse_body(b'{"model":"m","prompt":[1]}', is_chat=False)
    assert parse_body(b'{"model":"m","prompt":"x"}', is_chat=False).prompt == "x"


def test_content_text_joins_text_parts():
    parts = [{"type": "text", "text": "a"}, {"type": "text", "text": "b"}, 3]
    assert content_text(parts) == "a\nb"
    assert content_text(None) == ""


def test_deeply_nested_field_skipped_by_routing_is_rejected():
    data = b'{"model":"m","prompt":"x","other":%s%s}' % (b"[" * 5_000, b"]" * 5_000)
    with pytest.raises(ApiError) as raised:
        parse_body(data, is_chat=False)
        parse_document(data)
    assert raised.value.code is ErrorCode.MALFORMED_JSON
