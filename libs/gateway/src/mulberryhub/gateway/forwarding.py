"""Headers and request targets passed between clients and plain HTTP services.

API keys of the client are never forwarded, whether sent in headers or in the query.
"""

from urllib.parse import quote, urlencode

from mulberryhub.base.errors import ApiError, ErrorCode
from mulberryhub.gateway.auth import KEY_QUERY_PARAMETERS, presented_keys

FORWARDED_HEADERS = (
    "Accept",
    "Accept-Language",
    "If-Match",
    "If-None-Match",
    "User-Agent",
)
RETURNED_HEADERS = (
    "Cache-Control",
    "Content-Disposition",
    "Content-Encoding",
    "Content-Language",
    "ETag",
    "Location",
    "Retry-After",
)


def forwarded_headers(request, workspace_id):
    """Return the headers to send upstream, as a dict of values by name."""
    credentials = _presented_credentials(request)
    headers = {name: request.header(name) for name in FORWARDED_HEADERS}
    headers["Content-Type"] = request.content_type
    headers["Idempotency-Key"] = request.header("Idempotency-Key")
    headers["X-Workspace"] = workspace_id
    safe_headers = {
        name: value
        for name, value in headers.items()
        if value and not _contains_credential(value, credentials)
    }
    safe_headers["X-Request-Id"] = request.request_id
    return safe_headers


def forwarded_target(request):
    """Return the path and query to send upstream, without the client's keys.

    Raise ApiError for a path with dot segments or backslashes, which an upstream
    might resolve to another path.
    """
    segments = request.path.split("/")
    if "." in segments or ".." in segments or "\\" in request.path:
        raise ApiError(ErrorCode.BAD_REQUEST, "the path must not have dot segments")
    credentials = _presented_credentials(request)
    query = [
        (name, value)
        for name, value in request.query
        if name.lower() not in KEY_QUERY_PARAMETERS and value not in credentials
    ]
    path = quote(request.path.encode("latin-1"), safe="/:@!$&'()*+,;=~")
    return f"{path}?{urlencode(query)}" if query else path


def returned_headers(service_response, upstream_id):
    """Return the header pairs of a service's response to send to the client."""
    pairs = [
        (name, service_response.headers[name])
        for name in ("Content-Type", *RETURNED_HEADERS)
        if name in service_response.headers
    ]
    return [*pairs, ("X-Upstream", upstream_id)]


def _contains_credential(value, credentials):
    return any(credential in value for credential in credentials)


def _presented_credentials(request):
    """Return the client's keys and its complete Authorization header values.

    The latter cover schemes other than Bearer.
    """
    return presented_keys(request).union(request.headers_named("Authorization"))
