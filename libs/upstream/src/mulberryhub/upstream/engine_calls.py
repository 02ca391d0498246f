"""Calls to engines that are no completions: load, orders and cancellations."""

import msgspec

from mulberryhub.upstream.errors import EngineErrorResponse, StreamInterrupted
from mulberryhub.upstream.messages import EngineLoad
from mulberryhub.upstream.service import ServiceClient, ServiceRequest

MAX_RESPONSE_BYTES = 1_048_576  # of the body
MAX_ERROR_BYTES = 200  # of an error response that go into the message

client = ServiceClient(MAX_RESPONSE_BYTES)
decode_load = msgspec.json.Decoder(EngineLoad).decode


def send_call(engine, method, path, timeout, value=None):
    """Send `value` as JSON on a new connection and return the ServiceResponse.

    `timeout` limits the whole exchange in ms. Raises EngineFailure.
    """
    body = None if value is None else msgspec.json.encode(value)
    request = ServiceRequest(method, path, {}, body, None, timeout)
    return client.send_on_new_connection(engine, request)


def read_load(engine, timeout):
    """Return the EngineLoad that `engine` reports, or raise EngineFailure."""
    response = send_call(engine, "GET", "/load", timeout)
    if response.status != 200:
        message = response.body[:MAX_ERROR_BYTES].decode(errors="replace")
        raise EngineErrorResponse(response.status, message)
    try:
        load = decode_load(response.body)
    except msgspec.DecodeError as error:
        raise StreamInterrupted(f"malformed load: {error}") from error
    if not load.incarnation:
        raise StreamInterrupted("the load has no incarnation")
    return load
