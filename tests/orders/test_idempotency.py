from uuid import UUID

import pytest

from mulberryhub.base.errors import Code, HubError
from mulberryhub.orders.idempotency import (
    NO_TIME,
    key_time,
    new_key,
    request_fingerprint,
    scoped_digest,
)


def test_key_carries_its_time():
    key = new_key(1_700_000_000_123)
    assert UUID(key).version == 7
    assert key_time(key) == 1_700_000_000_123


@pytest.mark.parametrize(
    "key", ["order-1", str(UUID(int=4, version=4)), "0" * 32, "x" * 255]
)
def test_other_keys_have_no_time(key):
    assert key_time(key) == NO_TIME
    assert scoped_digest("a", "/r", key) != scoped_digest("a", "/r", key + "x")


@pytest.mark.parametrize("key", ["", "x" * 256, "é", "a\nb", "\x00"])
def test_unusable_key_is_refused(key):
    with pytest.raises(HubError) as raised:
        key_time(key)
    assert raised.value.code is Code.BAD_REQUEST


def test_spellings_of_one_key_are_one_key():
    key = new_key(1)
    assert scoped_digest("a", "/r", key) == scoped_digest(
        "a", "/r", key.upper().replace("-", "")
    )


def test_scope_and_fingerprint_tell_parts_apart():
    key = new_key(1)
    assert scoped_digest("a", "/r", key) != scoped_digest("a/", "r", key)
    assert request_fingerprint("POST", "/ab", b"") != request_fingerprint(
        "POST", "/a", b"b"
    )
