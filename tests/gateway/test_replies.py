import msgspec

from mulberryhub.base.errors import Code, HubError, Ran
from mulberryhub.gateway.replies import error_reply


def test_error_body(snapshot):
    bodies_by_code = {
        code.label: msgspec.json.decode(
            error_reply(HubError(code, "why", Ran.UNKNOWN, retry_after=1_200)).body
        )
        for code in Code
    }
    assert bodies_by_code == snapshot


def test_retry_after_is_rounded_up_to_seconds():
    reply = error_reply(HubError(Code.OVER_RATE, "why", retry_after=1_200))
    assert ("Retry-After", "2") in reply.headers
    assert reply.status == 429


def test_no_retry_after_where_a_retry_does_not_help():
    names = [name for name, _ in error_reply(HubError(Code.OVER_BURST, "why")).headers]
    assert "Retry-After" not in names
