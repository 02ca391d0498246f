"""Finds response heads that contradict themselves."""

import re

HTTP_VERSIONS = (b"1.0", b"1.1")
MAX_STATUS = 599
STATUS_NO_CONTENT = 204
CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


def find_fault(head, http_version):
    """Return why the length or the meaning of a response is uncertain, or None.

    The parser accepts such a response, and makes a choice for which there is no ground.
    """
    is_chunked = head.headers.get(b"transfer-encoding") is not None
    if http_version not in HTTP_VERSIONS:
        return "not a version of HTTP/1"
    if head.status > MAX_STATUS:
        return f"status {head.status}"
    if is_chunked and (head.length is not None or http_version != b"1.1"):
        return "chunks beside a length or in HTTP/1.0"
    if head.status == STATUS_NO_CONTENT and (is_chunked or head.length):
        return "a body without content"
    if any(CONTROL_CHARACTER.search(field.value) for field in head.headers.fields):
        return "control characters in a header"
    return None
