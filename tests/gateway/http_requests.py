"""Builds requests for the tests of the gateway."""

from io import BytesIO

from mulberryhub.gateway.http_messages import HttpRequest


def make_request(
    method="GET", path="/", query="", headers=(), body=b"", content_length=None
):
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "QUERY_STRING": query,
        "headers_raw": tuple(headers),
        "wsgi.input": BytesIO(body),
        "CONTENT_LENGTH": str(len(body) if content_length is None else content_length),
    }
    for name, value in headers:
        environ["HTTP_" + name.upper().replace("-", "_")] = value
    return HttpRequest(environ)
