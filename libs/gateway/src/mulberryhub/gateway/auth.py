"""Authentication of client and operator keys."""

from mulberryhub.base.digest import key_hash
from mulberryhub.base.errors import ApiError, ErrorCode

BEARER_PREFIX = "bearer "
KEY_QUERY_PARAMETERS = frozenset({"api_key", "api-key", "key"})


def presented_keys(request):
    """Return the set of keys in the headers and the query of `request`."""
    keys = set(request.headers_named("X-Api-Key"))
    for value in request.headers_named("Authorization"):
        if value.lower().startswith(BEARER_PREFIX):
            keys.add(value[len(BEARER_PREFIX) :].strip())
    keys.update(
        value for name, value in request.query if name.lower() in KEY_QUERY_PARAMETERS
    )
    keys.discard("")
    return keys


def presented_key(request):
    """Return the key of `request`, or an empty string if it has none.

    Raise ApiError if the request carries several different keys.
    """
    keys = presented_keys(request)
    if len(keys) > 1:
        raise ApiError(ErrorCode.DUPLICATE_KEY, "the request carries more than one key")
    return keys.pop() if keys else ""


def authenticate(request, view):
    """Return the workspace that the key of `request` belongs to.

    Raise ApiError if the key is missing, unknown or withdrawn.
    """
    key = presented_key(request)
    if not key:
        raise ApiError(ErrorCode.MISSING_KEY, "the request carries no key")
    digest = key_hash(key)
    entry = view.keys_by_hash.get(digest)
    if entry is not None:
        return view.workspaces_by_id[entry.workspace]
    if digest in view.withdrawn_hashes:
        raise ApiError(ErrorCode.WITHDRAWN_KEY, "the key has been withdrawn")
    raise ApiError(ErrorCode.UNKNOWN_KEY, "the key is not known")


def authenticate_and_read_body(request, replica):
    """Return the configuration view, the workspace and the body of `request`.

    The key is checked before the body is read, and again afterwards because it may
    be withdrawn while a slow client is still sending. Raise ApiError if the key or
    the body is invalid.
    """
    authenticate(request, replica.wait_for_view())
    data = request.read_body()
    view = replica.wait_for_view()
    return view, authenticate(request, view), data


def authenticate_operator(request, view):
    """Return the operator that the key of `request` belongs to.

    Raise ApiError if it belongs to none.
    """
    key = presented_key(request)
    operator = view.operators_by_hash.get(key_hash(key)) if key else None
    if operator is None:
        raise ApiError(ErrorCode.NOT_OPERATOR, "the key belongs to no operator")
    return operator
