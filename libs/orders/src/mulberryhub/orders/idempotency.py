"""Idempotency keys: creation time, scope, and the request that a key is bound to."""

from hashlib import blake2b
from secrets import randbits
from uuid import UUID

from mulberryhub.base.errors import ApiError, ErrorCode

UUID_VERSION = 7
NO_CREATION_TIME = 0
MAX_KEY_LENGTH = 255  # characters
TIMESTAMP_SHIFT_BITS = 80  # bits below the timestamp of a version 7 UUID
VERSION_SHIFT_BITS = 76
VARIANT_SHIFT_BITS = 62
DIGEST_BYTES = 16


def key_creation_ms(key):
    """Return the creation time in a version 7 UUID, in ms since the Unix epoch.

    Return NO_CREATION_TIME for other keys. Raise ApiError(BAD_REQUEST) where `key`
    is empty, too long or not printable ASCII.
    """
    if not 1 <= len(key) <= MAX_KEY_LENGTH or not (key.isascii() and key.isprintable()):
        raise _invalid_key_error()
    uuid = _parse_uuid7(key)
    if uuid is None:
        return NO_CREATION_TIME
    return uuid.int >> TIMESTAMP_SHIFT_BITS


def new_idempotency_key(created_ms):
    """Return a new random key, a version 7 UUID, for one call.

    `created_ms` is the time of the first attempt, in ms since the Unix epoch.
    """
    value = created_ms << TIMESTAMP_SHIFT_BITS | randbits(TIMESTAMP_SHIFT_BITS)
    value = value & ~(0xF << VERSION_SHIFT_BITS) | UUID_VERSION << VERSION_SHIFT_BITS
    value = value & ~(0x3 << VARIANT_SHIFT_BITS) | 0x2 << VARIANT_SHIFT_BITS
    return str(UUID(int=value))


def scoped_key_digest(workspace_id, route, key):
    """Return the digest that identifies a key within its workspace and route.

    All spellings of one version 7 UUID have the same digest.
    """
    uuid = _parse_uuid7(key)
    return _digest(workspace_id, route, key if uuid is None else str(uuid))


def request_fingerprint(method, path, body):
    """Return a digest of the request that a key is bound to; `body` is bytes."""
    return _digest(method, path, body)


def _parse_uuid7(key):
    """Return the version 7 UUID in `key`, or None."""
    try:
        uuid = UUID(key)
    except ValueError:
        return None
    return uuid if uuid.version == UUID_VERSION else None


def _digest(*parts):
    """Return a digest of str or bytes parts; lengths are hashed to delimit them."""
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return digest.digest()


def _invalid_key_error():
    return ApiError(
        ErrorCode.BAD_REQUEST,
        f"Idempotency-Key must be 1 to {MAX_KEY_LENGTH} printable ASCII characters",
    )
