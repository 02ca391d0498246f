import pytest

from mulberryhub.fleet.records import Workspace
from mulberryhub.forward.call import Call
from mulberryhub.forward.fingerprint import fingerprint_of
from mulberryhub.http.messages import Headers, Request

SAME = {"method": b"POST", "target": b"/p/x?page=1", "body": b"body"}


def fingerprint(workspace="w", id="id-1", **more):
    fields = {**SAME, **more}
    request = Request(
        fields["method"], fields["target"], Headers(), fields["body"], arrived=0
    )
    owner = None if workspace is None else Workspace(workspace, [])
    return fingerprint_of(Call(request, id, "h", "/p/x"), owner)


def test_attempts_of_one_request_have_one_fingerprint():
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
def test_other_requests_have_others(other):
    assert fingerprint() != fingerprint(**other)
