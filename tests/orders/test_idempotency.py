from uuid import UUID

import pytest

from mulberryhub.base.errors import ApiError, ErrorCode
from mulberryhub.orders.idempotency import (
    NO_CREATION_TIME,
    key_creation_ms,
    new_idempotency_key,
    request_fingerprint,
    scoped_key_digest,
)


def test_key_contains_its_creation_time():
    key = new_idempotency_key(1_700_000_000_123)
    assert UUID(key).version == 7
    assert key_creation_ms(key) == 1_700_000_000_123


@pytest.mark.parametrize(
    "key", ["order-1", str(UUID(int=4, version=4)), "0" * 32, "x" * 255]
)
def test_key_that_is_no_version_7_uuid_has_no_creation_time(key):
    assert key_creation_ms(key) == NO_CREATION_TIME
    assert scoped_key_digest("a", "/r", key) != scoped_key_digest("a", "/r", key + "x")


@pytest.mark.parametrize("key", ["", "x" * 256, "é", "a\nb", "\x00"])
def test_invalid_key_is_refused(key):
    with pytest.raises(ApiError) as raised:
        key_creation_ms(key)
    assert raised.value.code is ErrorCode.BAD_REQUEST


def test_all_spellings_of_a_uuid_have_one_digest():
    key = new_idempotency_key(1)
    assert scoped_key_digest("a", "/r", key) == scoped_key_digest(
        "a", "/r", key.upper().replace("-", "")
    )


def test_digests_depend_on_where_parts_are_divided():
    key = new_idempotency_key(1)
    assert scoped_key_digest("a", "/r", key) != scoped_key_digest("a/", "r", key)
    assert request_fingerprint("POST", "/ab", b"") != request_fingerprint(
        "POST", "/a", b"b"
    )
