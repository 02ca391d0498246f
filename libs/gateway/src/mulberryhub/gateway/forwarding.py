"""What of a call goes to a plain service and what of its answer comes back.

The caller's key never goes to a service, wherever in headers or query it came.
"""

from urllib.parse import quote, urlencode

from mulberryhub.base.errors import Code, HubError
from mulberryhub.gateway.auth import KEY_QUERIES, presented_keys

REQUEST_HEADERS = (
    "Accept",
    "Accept-Language",
    "If-Match",
    "If-None-Match",
    "User-Agent",
)
ANSWER_HEADERS = (
    "Cache-Control",
    "Content-Disposition",
    "Content-Encoding",
    "Content-Language",
    "ETag",
    "Location",
    "Retry-After",
)


def forwarded_headers(call, workspace_id):
    """Return the headers to send upstream by name."""
    keys = _presented_keys(call)
    headers = {name: call.header(name) for name in REQUEST_HEADERS}
    headers["Content-Type"] = call.content_type
    headers["Idempotency-Key"] = call.header("Idempotency-Key")
    headers["X-Workspace"] = workspace_id
    kept = {
        name: value
        for name, value in headers.items()
        if value and not _holds_key(value, keys)
    }
    kept["X-Request-Id"] = call.request_id
    return kept


def forwarded_target(call):
    """Return the path with the query to send upstream, without the caller's key.

    Raise HubError for a path that an upstream might take for another one.
    """
    segments = call.path.split("/")
    if "." in segments or ".." in segments or "\\" in call.path:
        raise HubError(Code.BAD_REQUEST, "the path must not have dot segments")
    keys = _presented_keys(call)
    query = [
        (name, value)
        for name, value in call.query
        if name.lower() not in KEY_QUERIES and value not in keys
    ]
    path = quote(call.path.encode("latin-1"), safe="/:@!$&'()*+,;=~")
    return f"{path}?{urlencode(query)}" if query else path


def returned_headers(answer, upstream_id):
    """Return the header pairs of a service's answer that go to the caller."""
    pairs = [
        (name, answer.headers[name])
        for name in ("Content-Type", *ANSWER_HEADERS)
        if name in answer.headers
    ]
    return [*pairs, ("X-Upstream", upstream_id)]


def _holds_key(value, keys):
    return any(key in value for key in keys)


def _presented_keys(call):
    """Return the keys and, for other schemes, whole Authorization headers."""
    return presented_keys(call).union(call.headers_named("Authorization"))
