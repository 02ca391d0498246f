from mulberryhub.base.counters import Counters
from mulberryhub.fleet.records import (
    ClientLimits,
    Configuration,
    RequestKind,
    Route,
    Service,
    Target,
    Upstream,
    UpstreamState,
    Workspace,
)
from mulberryhub.forward.admission import Admission
from mulberryhub.forward.call import Call, PromptPart
from mulberryhub.forward.rate_limits import UpstreamRateLimits
from mulberryhub.forward.room import Room
from mulberryhub.forward.slot_times import SlotTimes
from mulberryhub.http.messages import Headers, Request
from mulberryhub.permits.allocator import PermitAllocator
from mulberryhub.permits.stock import Flow, PermitStock

MODEL = "m"


def make_upstream(
    id, offset=1, state=UpstreamState.READY, data_centre="a", version=1, **more
):
    values = {
        "service": "llm",
        "address": f"10.0.0.{offset}:80",
        "slots": 64,
        "versions_by_model": {MODEL: version},
    }
    values.update(more)
    return Upstream(
        id=id, offset=offset, state=state, data_centre=data_centre, **values
    )


def make_route(kind=RequestKind.STREAMING, **more):
    values = {
        "name": "r",
        "host": "h",
        "path_prefix": "/p/",
        "targets": [Target("llm", 1)],
        "timeout": 4_000,
        "target_latency": 500,
    }
    values.update(more)
    return Route(kind=kind, **values)


def make_service(**more):
    values = {"name": "llm", "slots": 64, "models": [MODEL], "kv_capacity": 100_000}
    values.update(more)
    return Service(**values)


def make_configuration(version=1, routes=None, services=None, workspaces=None):
    return Configuration(
        version=version,
        routes=[make_route()] if routes is None else routes,
        services=[make_service()] if services is None else services,
        workspaces=[Workspace("w", ["k"])] if workspaces is None else workspaces,
        limits=ClientLimits(),
    )


PROMPT_PARTS = (("top", 2_000), ("key", 4_000), ("own", 3_000))


def make_call(prompt_parts=PROMPT_PARTS, body=b"", arrived_at=0):
    request = Request(b"POST", b"/p/x", Headers(), body, arrived_at)
    call = Call(request, "id-1", "h", "/p/x", api_key="k")
    call.model = MODEL
    call.prompt_parts = [PromptPart(id, tokens) for id, tokens in prompt_parts]
    call.prompt_tokens = sum(part.tokens for part in call.prompt_parts)
    call.output_tokens = 60
    return call


FLOW = Flow("0/w")


def make_rate_limits(fleet_state, clock):
    """Return the UpstreamRateLimits of a router that is its own coordinator."""
    allocator = PermitAllocator(lambda: 1, clock)
    stock = PermitStock(allocator.grant, clock)
    return UpstreamRateLimits(fleet_state, stock, Counters())


def make_admission(loads, clock, counters, hears_others=lambda: True):
    """Return the Room and the Admission of a router."""
    slot_times = SlotTimes()
    room = Room(loads, slot_times, clock)
    return room, Admission(room, slot_times, hears_others, clock, counters)


def no_counters():
    return Counters()
