"""Authentication of messages between routers by a shared secret."""

from hashlib import blake2b
from hmac import compare_digest

METADATA_KEY = "mulberryhub-peer-mac"
MAC_SIZE = 16  # bytes
MAX_KEY_SIZE = 64  # bytes


def message_mac(peer_key, method, data):
    """Return the hexadecimal code of a request; the secret itself is not sent."""
    key = peer_key.encode()
    if len(key) > MAX_KEY_SIZE:
        key = blake2b(key).digest()
    mac = blake2b(method.encode() + b"\0", digest_size=MAC_SIZE, key=key)
    mac.update(data)
    return mac.hexdigest()


def is_authentic(peer_key, method, data, metadata):
    """Tell whether `metadata` carries the code of this request."""
    expected = message_mac(peer_key, method, data)
    values = [item.value for item in metadata if item.key == METADATA_KEY]
    return len(values) == 1 and compare_digest(values[0], expected)
