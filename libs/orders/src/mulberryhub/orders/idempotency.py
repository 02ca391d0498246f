"""Idempotency keys: their time bound, their scope and what they are bound to."""

from hashlib import blake2b
from secrets import randbits
from uuid import UUID

from mulberryhub.base.errors import Code, HubError

KEY_VERSION = 7
NO_TIME = 0
MAX_KEY_LENGTH = 255  # characters
TIMESTAMP_SHIFT = 80  # bits below the timestamp of a UUID of version 7
VERSION_SHIFT = 76  # bits
VARIANT_SHIFT = 62  # bits
DIGEST_BYTES = 16


def key_time(key):
    """Return the creation time in a UUID of version 7, in ms since the Unix epoch.

    Return NO_TIME for other keys. Raise HubError(BAD_REQUEST) where `key` is too
    long or not printable ASCII.
    """
    if not 1 <= len(key) <= MAX_KEY_LENGTH or not (key.isascii() and key.isprintable()):
        raise _bad_key()
    parsed = _parse(key)
    if parsed is None:
        return NO_TIME
    return parsed.int >> TIMESTAMP_SHIFT


def new_key(time):
    """Return a key for a call first sent at `time`, in ms since the Unix epoch."""
    value = time << TIMESTAMP_SHIFT | randbits(TIMESTAMP_SHIFT)
    value = value & ~(0xF << VERSION_SHIFT) | KEY_VERSION << VERSION_SHIFT
    value = value & ~(0x3 << VARIANT_SHIFT) | 0x2 << VARIANT_SHIFT
    return str(UUID(int=value))


def scoped_digest(workspace_id, route, key):
    """Return the digest of a key within its workspace and route."""
    parsed = _parse(key)
    return _digest(workspace_id, route, key if parsed is None else str(parsed))


def request_fingerprint(method, path, body):
    """Return the digest of what a key is bound to; `body` is bytes."""
    return _digest(method, path, body)


def _parse(key):
    """Return the UUID of version 7 in `key`, or None."""
    try:
        parsed = UUID(key)
    except ValueError:
        return None
    return parsed if parsed.version == KEY_VERSION else None


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
        f"Idempotency-Key must be 1 to {MAX_KEY_LENGTH} printable ASCII characters",
    )
