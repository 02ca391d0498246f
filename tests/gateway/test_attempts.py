from types import SimpleNamespace

import pytest

from mulberryhub.base.clock import Clock
from mulberryhub.base.counters import Counters
from mulberryhub.base.errors import ApiError, ErrorCode, ExecutionState
from mulberryhub.config.inventory import Upstream
from mulberryhub.gateway.attempts import EngineAttempts
from mulberryhub.gateway.relay_dependencies import RelayDependencies
from mulberryhub.routing.policies import make_policy
from mulberryhub.routing.prefix_chain import text_request
from mulberryhub.routing.request import Decision, Scope
from mulberryhub.upstream.budget import RetryBudget
from mulberryhub.upstream.errors import (
    ConnectFailed,
    EngineErrorResponse,
    EngineTimeout,
)
from mulberryhub.upstream.health import UpstreamHealth
from mulberryhub.upstream.messages import EngineRequest

ENGINES = ("engine-1", "engine-2")


class FailingEngineClient:
    """Raises the configured failure of each engine for every call."""

    def __init__(self, failures_by_id):
        self.failures_by_id = failures_by_id

    def open(self, upstream, engine_request):
        raise self.failures_by_id[upstream.id]

    resume = open

    def cancel(self, upstream, request_id):
        pass


class NoSuspects:
    def is_suspect(self, fingerprint):
        return False

    is_quarantined = is_suspect

    def record_crash(self, fingerprint, had_lease):
        pass

    def has_quarantined_prefix(self, prefixes):
        return False

    def record_prefix_crash(self, incarnation, fingerprint, prefixes, had_lease):
        pass


def open_error(**failures_by_id):
    failures_by_id = dict(zip(ENGINES, failures_by_id.values()))
    clock, counters = Clock(), Counters()
    upstreams_by_id = {id_: Upstream(id_, "engine", "dc", "") for id_ in ENGINES}
    dependencies = RelayDependencies(
        engine_client=FailingEngineClient(failures_by_id),
        policy=make_policy("random", clock),
        health=UpstreamHealth(clock, counters),
        engine_monitor=None,
        retry_budget=RetryBudget(),
        resume_token_signer=None,
        suspects=NoSuspects(),
        confirmed_view=lambda: SimpleNamespace(upstreams_by_id=upstreams_by_id),
        counters=counters,
        clock=clock,
    )
    request = text_request(Scope("w", "m", "1"), "a prompt")
    attempts = EngineAttempts(
        dependencies, Decision(request, list(ENGINES)), EngineRequest("r", {})
    )
    with pytest.raises(ApiError) as raised:
        attempts.open()
    return raised.value.code, raised.value.execution_state


@pytest.mark.parametrize(
    ("first", "second", "code", "execution_state"),
    [
        (
            ConnectFailed(""),
            ConnectFailed(""),
            ErrorCode.UPSTREAM_FAILED,
            ExecutionState.NOT_RUN,
        ),
        (
            ConnectFailed(""),
            EngineErrorResponse(400, ""),
            ErrorCode.BAD_REQUEST,
            ExecutionState.NOT_RUN,
        ),
        (
            EngineTimeout(""),
            EngineErrorResponse(400, ""),
            ErrorCode.BAD_REQUEST,
            ExecutionState.UNKNOWN,
        ),
        (
            EngineTimeout(""),
            ConnectFailed(""),
            ErrorCode.UPSTREAM_FAILED,
            ExecutionState.UNKNOWN,
        ),
        (
            ConnectFailed(""),
            EngineTimeout(""),
            ErrorCode.UPSTREAM_SILENT,
            ExecutionState.UNKNOWN,
        ),
    ],
)
def test_error_tells_whether_any_engine_may_have_run_the_call(
    first, second, code, execution_state
):
    assert open_error(first=first, second=second) == (code, execution_state)
