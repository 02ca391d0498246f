"""Idempotency keys: their time bound, their scope and what they are bound to."""

from hashlib import blake2b
from secrets import randbits
from uuid import UUID

from mulberryhub.base.errors import Code, HubError

KEY_VERSION = 7
TIMESTAMP_SHIFT = 80  # bits below the timestamp of a UUID of version 7
VERSION_SHIFT = 76  # bits
VARIANT_SHIFT = 62  # bits
DIGEST_BYTES = 16


def key_time(key):
    """Return the creation time in a UUID of version 7, in ms since the Unix epoch.

    Raise HubError(BAD_REQUEST) for any other text.
    """
    try:
        parsed = UUID(key)
    except ValueError as error:
        raise _bad_key() from error
    if parsed.version != KEY_VERSION:
        raise _bad_key()
    return parsed.int >> TIMESTAMP_SHIFT


def new_key(time):
    """Return a key for a call first sent at `time`, in ms since the Unix epoch."""
    value = time << TIMESTAMP_SHIFT | randbits(TIMESTAMP_SHIFT)
    value = value & ~(0xF << VERSION_SHIFT) | KEY_VERSION << VERSION_SHIFT
    value = value & ~(0x3 << VARIANT_SHIFT) | 0x2 << VARIANT_SHIFT
    return str(UUID(int=value))


def scoped_digest(workspace_id, route, key):
    """Return the digest of a key within its workspace and route."""
    return _digest(workspace_id, route, str(UUID(key)))


def request_fingerprint(method, path, body):
    """Return the digest of what a key is bound to; `body` is bytes."""
    return _digest(method, path, body)


def _digest(*parts):
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return digest.digest()


def _bad_key():
    return HubError(
        Code.BAD_REQUEST,
        "Idempotency-Key must be a UUID of version 7, made when the call is first sent",
    )
