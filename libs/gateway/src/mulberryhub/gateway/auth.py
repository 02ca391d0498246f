"""Authentication: from the key of a call to its workspace or operator."""

from mulberryhub.base.digest import key_hash
from mulberryhub.base.errors import Code, HubError

BEARER = "bearer "
KEY_QUERIES = frozenset({"api_key", "api-key", "key"})


def presented_keys(call):
    """Return each key that came with `call`, in a header or in the query."""
    keys = set(call.headers_named("X-Api-Key"))
    for value in call.headers_named("Authorization"):
        if value.lower().startswith(BEARER):
            keys.add(value[len(BEARER) :].strip())
    keys.update(value for name, value in call.query if name.lower() in KEY_QUERIES)
    keys.discard("")
    return keys


def presented_key(call):
    """Return the key that came with `call`, or an empty string.

    Raise HubError where the call carries keys that differ.
    """
    keys = presented_keys(call)
    if len(keys) > 1:
        raise HubError(Code.DUPLICATE_KEY, "the request carries more than one key")
    return keys.pop() if keys else ""


def authenticate(call, view):
    """Return the workspace of the key that came with `call`.

    Raise HubError where there is no key, or it is unknown or withdrawn.
    """
    key = presented_key(call)
    if not key:
        raise HubError(Code.MISSING_KEY, "the request carries no key")
    digest = key_hash(key)
    entry = view.keys_by_hash.get(digest)
    if entry is not None:
        return view.workspaces_by_id[entry.workspace]
    if digest in view.withdrawn_hashes:
        raise HubError(Code.WITHDRAWN_KEY, "the key has been withdrawn")
    raise HubError(Code.UNKNOWN_KEY, "the key is not known")


def read_authenticated(call, replica):
    """Return the view in force, the workspace of the key and the body of `call`.

    The key is checked before the body is read, and again after it: a slow sender
    may outlast the withdrawal of its key. Raise HubError.
    """
    authenticate(call, replica.confirmed())
    data = call.read_body()
    view = replica.confirmed()
    return view, authenticate(call, view), data


def authenticate_operator(call, view):
    """Return the operator of the key that came with `call`, or raise HubError."""
    key = presented_key(call)
    operator = view.operators_by_hash.get(key_hash(key)) if key else None
    if operator is None:
        raise HubError(Code.NOT_OPERATOR, "the key belongs to no operator")
    return operator
