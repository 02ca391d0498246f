"""Fingerprints of requests, and of the prompt parts that requests share."""

from hashlib import blake2b

FINGERPRINT_BYTES = 8
LENGTH_BYTES = 8
PART_DOMAIN = b"prompt part"  # keeps fingerprints of parts and requests apart


def fingerprint_of(call, workspace):
    """Return the hexadecimal digest of workspace, method, target and body.

    It is the same for all attempts of a request. Equal requests of different workspaces
    have different fingerprints; requests without a workspace share one namespace.
    """
    request = call.request
    name = "" if workspace is None else workspace.name
    return _digest(b"", name.encode(), request.method, request.target, request.body)


def part_fingerprints_of(call):
    """Return the digests of the model and each shared prompt part, the last part first.

    Workspaces are not told apart, as a part has the same effect in all of them.
    """
    model = call.model or ""
    ids = dict.fromkeys(part.id for part in reversed(call.shared_parts))
    return [_part_fingerprint(model, id) for id in ids]


def _part_fingerprint(model, id):
    return _digest(PART_DOMAIN, model.encode(), id.encode())


def _digest(domain, *values):
    digest = blake2b(digest_size=FINGERPRINT_BYTES, person=domain)
    for value in values:
        digest.update(len(value).to_bytes(LENGTH_BYTES))
        digest.update(value)
    return digest.hexdigest()
