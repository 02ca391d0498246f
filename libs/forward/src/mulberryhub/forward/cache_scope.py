"""Scopes of cached prompt parts: which workspaces use the parts of each other.

Upstreams keep parts for as long as they like, and so does the KV cache store. So what
separates workspaces must be part of the name under which the parts are kept.
"""

from hashlib import blake2b

LENGTH_BYTES = 4
DIGEST_BYTES = 8


def isolated_scope(name):
    """Return the scope of the workspace `name` that shares no parts with others."""
    return f":{name}"


def shared_scope(isolated_names):
    """Return the scope of the workspaces that are not in `isolated_names`.

    It is another one for each set of isolated workspaces. Thus no part in it was made
    by a workspace that is isolated now, even if that has shared parts before.
    """
    if not isolated_names:
        return ""
    digest = blake2b(digest_size=DIGEST_BYTES)
    for name in sorted(isolated_names):
        data = name.encode()
        digest.update(len(data).to_bytes(LENGTH_BYTES))
        digest.update(data)
    return f"/{digest.hexdigest()}"
