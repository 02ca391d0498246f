import pytest

from mulberryhub.base.digest import key_hash
from mulberryhub.base.errors import ApiError, ErrorCode
from mulberryhub.config.inventory import Inventory, Key, Operator, Workspace
from mulberryhub.config.view import ConfigView
from mulberryhub.gateway.auth import authenticate, authenticate_operator
from tests.gateway.http_requests import make_request

INVENTORY = Inventory(
    workspaces=[Workspace("hotels", 10, 10)],
    keys=[Key(key_hash("k1"), "hotels"), Key(key_hash("k2"), "hotels")],
    operators=[Operator("ann", key_hash("op"))],
)
VIEW = ConfigView(7, INVENTORY, frozenset({key_hash("k2")}))


@pytest.mark.parametrize(
    "headers, query",
    [
        ([("Authorization", "Bearer k1")], ""),
        ([("authorization", "bearer k1")], ""),
        ([("X-Api-Key", "k1")], ""),
        ([], "api_key=k1"),
        ([("X-Api-Key", "k1"), ("Authorization", "Bearer k1")], ""),
    ],
)
def test_key_is_accepted_in_each_supported_place(headers, query):
    assert authenticate(make_request(headers=headers, query=query), VIEW).id == "hotels"


@pytest.mark.parametrize(
    "headers, code",
    [
        ([], ErrorCode.MISSING_KEY),
        ([("Authorization", "Basic k1")], ErrorCode.MISSING_KEY),
        ([("X-Api-Key", "other")], ErrorCode.UNKNOWN_KEY),
        ([("X-Api-Key", "k2")], ErrorCode.WITHDRAWN_KEY),
        ([("X-Api-Key", "op")], ErrorCode.UNKNOWN_KEY),
        ([("X-Api-Key", "k1"), ("X-Api-Key", "k3")], ErrorCode.DUPLICATE_KEY),
        ([("X-Api-Key", "k1"), ("Authorization", "Bearer x")], ErrorCode.DUPLICATE_KEY),
    ],
)
def test_invalid_keys_are_rejected(headers, code):
    with pytest.raises(ApiError) as raised:
        authenticate(make_request(headers=headers), VIEW)
    assert raised.value.code is code


def test_operator_and_client_keys_are_distinct():
    request = make_request(headers=[("X-Api-Key", "op")])
    assert authenticate_operator(request, VIEW).id == "ann"
    with pytest.raises(ApiError) as raised:
        authenticate_operator(make_request(headers=[("X-Api-Key", "k1")]), VIEW)
    assert raised.value.code is ErrorCode.NOT_OPERATOR
