"""Request fingerprints, which are the same for all attempts of a request."""

from hashlib import blake2b

FINGERPRINT_BYTES = 8
LENGTH_BYTES = 8


def fingerprint_of(call, workspace):
    """Return the hexadecimal digest of workspace, method, target and body.

    Equal requests of different workspaces have different fingerprints; requests without
    a workspace share one namespace.
    """
    request = call.request
    name = "" if workspace is None else workspace.name
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (name.encode(), request.method, request.target, request.body):
        digest.update(len(part).to_bytes(LENGTH_BYTES))
        digest.update(part)
    return digest.hexdigest()
