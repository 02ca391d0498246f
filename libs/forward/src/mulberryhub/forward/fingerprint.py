"""Fingerprints of requests, the same for all attempts of one request."""

from hashlib import blake2b

FINGERPRINT_BYTES = 8
LENGTH_BYTES = 8


def fingerprint_of(call, workspace):
    """Return the digest of workspace, method, target and body in hexadecimal.

    Requests of different workspaces differ, those without one are all alike.
    """
    request = call.request
    name = "" if workspace is None else workspace.name
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (name.encode(), request.method, request.target, request.body):
        digest.update(len(part).to_bytes(LENGTH_BYTES))
        digest.update(part)
    return digest.hexdigest()
