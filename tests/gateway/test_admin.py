"""Operators' requests are answered under a configuration that is confirmed."""

import pytest

from mulberryhub.base.counters import Counters
from mulberryhub.base.errors import ApiError, ErrorCode
from mulberryhub.config.view import ConfigView
from mulberryhub.gateway.admin import AdminApi
from tests.gateway.http_requests import make_request
from tests.support.inventories import OPERATOR_KEY, small_inventory

REQUEST = make_request(headers=[("X-Api-Key", OPERATOR_KEY)])


class UnconfirmedReplica:
    """Knows a configuration, which `wait_for_view` confirms, or not if it is None."""

    has_operators = True

    def __init__(self, confirmed_view):
        self._confirmed_view = confirmed_view

    def current(self):
        return None

    def wait_for_view(self):
        if self._confirmed_view is None:
            raise ApiError(ErrorCode.NOT_READY, "not confirmed in time")
        return self._confirmed_view


def require_operator(confirmed_view):
    replica = UnconfirmedReplica(confirmed_view)
    return AdminApi(replica, Counters(), "").require_operator(REQUEST)


def test_operator_is_not_refused_while_the_configuration_is_being_confirmed():
    view = ConfigView(0, small_inventory(), frozenset())
    assert require_operator(view) == "ana"


def test_operator_whose_key_was_withdrawn_in_a_pause_is_refused():
    without_operators = small_inventory()
    without_operators.operators.clear()
    with pytest.raises(ApiError) as raised:
        require_operator(ConfigView(0, without_operators, frozenset()))
    assert raised.value.code is ErrorCode.NOT_OPERATOR


def test_operator_is_refused_if_the_configuration_is_not_confirmed_in_time():
    with pytest.raises(ApiError) as raised:
        require_operator(None)
    assert raised.value.code is ErrorCode.NOT_READY
