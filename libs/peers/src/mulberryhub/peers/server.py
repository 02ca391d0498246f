"""RPC server for calls of other routers; handlers run in green threads."""

from concurrent.futures import Future, ThreadPoolExecutor, TimeoutError

import grpc
import msgspec

from mulberryhub.base.counters import Counters
from mulberryhub.base.green import sleep, spawn_n
from mulberryhub.base.logs import module_logger
from mulberryhub.peers.authentication import is_authentic
from mulberryhub.peers.bridge import Bridge
from mulberryhub.peers.transport import SERVER_OPTIONS, method_path

MAX_CONCURRENT_CALL_COUNT = 32
MAX_CALL_DURATION_MS = 30_000
STOP_POLL_INTERVAL_MS = 10

log = module_logger("peers.server")


class ServedMethod:
    """A method with its name, the type of its request message and its handler."""

    __slots__ = ("name", "message_type", "handler")

    def __init__(self, name, message_type, handler):
        self.name = name
        self.message_type = message_type
        self.handler = handler


class PeerServer:
    """Serves methods at `address` (host:port) to peers with the same `peer_key`.

    With port 0, `start` chooses a free port and updates `address`.
    """

    __slots__ = (
        "address",
        "_peer_key",
        "_counters",
        "_bridge",
        "_methods_by_path",
        "_server",
    )

    def __init__(self, address, peer_key, counters=None):
        self.address = address
        self._peer_key = peer_key
        self._counters = counters or Counters()
        self._bridge = Bridge()
        self._methods_by_path = {}
        self._server = None

    def register_handler(self, method, message_type, handler):
        """Register `handler` for calls of `method`.

        The handler runs in a green thread. It gets the message, decoded as
        `message_type`, and returns a msgspec.Struct. It may block, but the call fails
        after the caller's deadline or MAX_CALL_DURATION_MS.
        """
        self._methods_by_path[method_path(method)] = ServedMethod(
            method, message_type, handler
        )

    def start(self):
        """Listen on `address` and set it to the port in use.

        Raise OSError if the address is not available.
        """
        pool = ThreadPoolExecutor(MAX_CONCURRENT_CALL_COUNT, thread_name_prefix="peer")
        self._server = grpc.server(
            pool,
            handlers=(_HandlerLookup(self._find_handler),),
            options=SERVER_OPTIONS,
            maximum_concurrent_rpcs=MAX_CONCURRENT_CALL_COUNT,
        )
        host = self.address.rsplit(":", 1)[0]
        try:
            port = self._server.add_insecure_port(self.address)
        except RuntimeError as error:
            raise OSError(f"cannot listen on {self.address}") from error
        self.address = f"{host}:{port}"
        self._server.start()

    def stop(self, grace):
        """Reject new calls and wait up to `grace` ms for calls in progress."""
        stopped = self._server.stop(grace / 1000)
        while not stopped.is_set():
            sleep(STOP_POLL_INTERVAL_MS / 1000)

    def _find_handler(self, path):
        method = self._methods_by_path.get(path)
        if method is None:
            self._count_refusal("peer_method")
            return None

        def handle_call(data, context):
            return self._handle_call(method, data, context)

        return grpc.unary_unary_rpc_method_handler(handle_call)

    def _handle_call(self, method, data, context):
        """Return the response to a call; runs on a native thread and blocks it."""
        metadata = context.invocation_metadata()
        if not is_authentic(self._peer_key, method.name, data, metadata):
            self._count_refusal("peer_key")
            context.abort(grpc.StatusCode.UNAUTHENTICATED, "wrong peer key")
        try:
            message = msgspec.msgpack.decode(data, type=method.message_type)
        except msgspec.DecodeError as error:
            self._count_refusal("peer_message")
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        future = Future()
        self._bridge.post(spawn_n, _run_handler, method, message, future)
        try:
            return msgspec.msgpack.encode(future.result(_remaining_time_s(context)))
        except TimeoutError:
            self._count_refusal("peer_timeout")
            context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, "handler is too slow")
        except Exception as error:
            self._count_refusal("peer_handler")
            context.abort(grpc.StatusCode.INTERNAL, type(error).__name__)

    def _count_refusal(self, reason):
        """Add to the counter `refusal.{reason}`.

        This happens on the hub's thread, since counters are not thread-safe.
        """
        self._bridge.post(self._counters.add, f"refusal.{reason}")


class _HandlerLookup(grpc.GenericRpcHandler):
    """Looks up the handler of a gRPC path."""

    def __init__(self, find_handler):
        self._find_handler = find_handler

    def service(self, handler_call_details):
        """Return the gRPC handler of a call, or None if its method is unknown."""
        return self._find_handler(handler_call_details.method)


def _run_handler(method, message, future):
    """Run the handler in a green thread and set its result or exception on `future`."""
    try:
        future.set_result(method.handler(message))
    except Exception as error:
        log.exception("handler of peer method {} failed", method.name)
        future.set_exception(error)


def _remaining_time_s(context):
    """Return the time in s until the deadline of the caller, up to the maximum."""
    remaining = context.time_remaining()
    maximum = MAX_CALL_DURATION_MS / 1000
    return maximum if remaining is None else min(maximum, remaining)
