"""Finds response heads that http.client reads in part only.

It stops at the first line that it can't parse, and drops that one and all behind it, a
length or a coding too.
"""

import re

MAX_STATUS = 599
TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


def find_fault(status, headers):
    """Return why a parsed response head is not one as HTTP requires, or None."""
    if status > MAX_STATUS:
        return f"status {status}"
    if headers.defects or headers.get_payload() or headers.get_unixfrom():
        return "a line that is no header field"
    for name, value in headers.items():
        if TOKEN.fullmatch(name) is None:
            return "a malformed name of a header field"
        if CONTROL_CHARACTER.search(value):
            return "control characters in a header field"
    return None
