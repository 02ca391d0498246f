"""Authenticates RPC requests between routers with a MAC under a shared secret."""

from hashlib import blake2b
from hmac import compare_digest

MAC_METADATA_KEY = "mulberryhub-peer-mac"
MAC_BYTES = 16
MAX_BLAKE2B_KEY_BYTES = 64


def message_mac(peer_key, method, data):
    """Return the hexadecimal MAC of a request, a keyed BLAKE2b hash.

    `peer_key` is the shared secret, which is never sent, and `data` the encoded
    message.
    """
    key = peer_key.encode()
    if len(key) > MAX_BLAKE2B_KEY_BYTES:
        key = blake2b(key).digest()
    mac = blake2b(method.encode() + b"\0", digest_size=MAC_BYTES, key=key)
    mac.update(data)
    return mac.hexdigest()


def is_authentic(peer_key, method, data, metadata):
    """Return whether `metadata` has exactly one MAC and it is that of this request."""
    expected = message_mac(peer_key, method, data)
    values = [item.value for item in metadata if item.key == MAC_METADATA_KEY]
    return len(values) == 1 and compare_digest(values[0], expected)
