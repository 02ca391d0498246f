import pytest

from mulberryhub.base.errors import Code, HubError
from mulberryhub.gateway.completion_body import content_text, parse_body, parse_document

DEEP = b'{"model":"m","messages":[{"role":"user","content":' + b"[" * 100_000


@pytest.mark.parametrize(
    "data, code",
    [
        (b"", Code.MALFORMED_JSON),
        (b"{", Code.MALFORMED_JSON),
        (b"\xff", Code.MALFORMED_JSON),
        (DEEP, Code.MALFORMED_JSON),
        (b"[]", Code.BAD_REQUEST),
        (b"{}", Code.BAD_REQUEST),
        (b'{"model":1,"messages":[{"role":"user"}]}', Code.BAD_REQUEST),
        (b'{"model":"m"}', Code.BAD_REQUEST),
        (b'{"model":"m","messages":[]}', Code.BAD_REQUEST),
        (b'{"model":"m","messages":[{"content":"x"}]}', Code.BAD_REQUEST),
        (b'{"model":"m","messages":[{"role":"user"}],"max_tokens":-1}', None),
        (b'{"model":"m","messages":[{"role":"user"}],"stream":1}', Code.BAD_REQUEST),
    ],
)
def test_unusable_bodies_are_refused(data, code):
    with pytest.raises(HubError) as raised:
        parse_body(data, is_chat=True)
    assert raised.value.code is (code or Code.BAD_REQUEST)


def test_plain_prompt_must_be_text():
    with pytest.raises(HubError):
        parse_body(b'{"model":"m","prompt":[1]}', is_chat=False)
    assert parse_body(b'{"model":"m","prompt":"x"}', is_chat=False).prompt == "x"


def test_text_of_content_parts():
    parts = [{"type": "text", "text": "a"}, {"type": "text", "text": "b"}, 3]
    assert content_text(parts) == "a\nb"
    assert content_text(None) == ""


def test_deep_field_that_routing_does_not_read_is_refused():
    data = b'{"model":"m","prompt":"x","other":%s%s}' % (b"[" * 5_000, b"]" * 5_000)
    with pytest.raises(HubError) as raised:
        parse_body(data, is_chat=False)
        parse_document(data)
    assert raised.value.code is Code.MALFORMED_JSON
