import pytest

from mulberryhub.fleet.records import Workspace
from mulberryhub.forward.call import Call
from mulberryhub.forward.fingerprint import fingerprint_of
from mulberryhub.http.messages import Headers, Request

DEFAULTS = {"method": b"POST", "target": b"/p/x?page=1", "body": b"body"}


def fingerprint(workspace="w", id="id-1", **more):
    fields = {**DEFAULTS, **more}
    request = Request(
        fields["method"], fields["target"], Headers(), fields["body"], arrived_at=0
    )
    owner = None if workspace is None else Workspace(workspace, [])
    return fingerprint_of(Call(request, id, "h", "/p/x"), owner)


def test_attempts_of_one_request_share_a_fingerprint():
    assert fingerprint() == fingerprint(id="id-2")


@pytest.mark.parametrize(
    "other",
    [
        {"workspace": "v"},
        {"workspace": None},
        {"method": b"GET"},
        {"target": b"/p/x"},
        {"body": b"bodies"},
        {"target": b"/p/x?page=1b", "body": b"ody"},
    ],
)
def test_different_requests_have_different_fingerprints(other):
    assert fingerprint() != fingerprint(**other)
