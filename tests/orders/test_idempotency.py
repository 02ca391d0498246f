from uuid import UUID, uuid4

import pytest

from mulberryhub.base.errors import Code, HubError
from mulberryhub.orders.idempotency import (
    key_time,
    new_key,
    request_fingerprint,
    scoped_digest,
)


def test_key_carries_its_time():
    key = new_key(1_700_000_000_123)
    assert UUID(key).version == 7
    assert key_time(key) == 1_700_000_000_123


@pytest.mark.parametrize("key", ["", "order-1", str(uuid4()), "0" * 32])
def test_key_without_time_is_refused(key):
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
