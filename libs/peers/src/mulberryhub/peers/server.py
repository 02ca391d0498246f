"""Serves calls of other routers; each handler runs as a green thread."""

from concurrent.futures import Future, ThreadPoolExecutor, TimeoutError

import grpc
import msgspec

from mulberryhub.base.counters import Counters
from mulberryhub.base.green import sleep, spawn_n
from mulberryhub.base.logs import module_logger
from mulberryhub.peers.authentication import is_authentic
from mulberryhub.peers.bridge import Bridge
from mulberryhub.peers.transport import SERVER_OPTIONS, method_path

MAX_CALLS = 32  # calls in progress at once
LONGEST_CALL = 30_000  # ms
STOP_POLL = 10  # ms

log = module_logger("peers.server")


class Method:
    """One served method: its name, the type of its message and its handler."""

    __slots__ = ("name", "type", "handler")

    def __init__(self, name, type_, handler):
        self.name = name
        self.type = type_
        self.handler = handler


class PeerServer:
    """Serves methods at `address` (host:port) to peers that know `peer_key`."""

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

    def serve(self, method, type_, handler):
        """Answer calls of `method` by `handler(message)`.

        `message` is decoded as `type_`; the handler returns a msgspec.Struct and
        may wait, but no longer than its caller does.
        """
        self._methods_by_path[method_path(method)] = Method(method, type_, handler)

    def start(self):
        """Listen, and set `address` to the address in use. Raise OSError."""
        pool = ThreadPoolExecutor(MAX_CALLS, thread_name_prefix="peer")
        self._server = grpc.server(
            pool,
            handlers=(_Handlers(self._find),),
            options=SERVER_OPTIONS,
            maximum_concurrent_rpcs=MAX_CALLS,
        )
        host = self.address.rsplit(":", 1)[0]
        try:
            port = self._server.add_insecure_port(self.address)
        except RuntimeError as error:
            raise OSError(f"cannot listen on {self.address}") from error
        self.address = f"{host}:{port}"
        self._server.start()

    def stop(self, grace):
        """Refuse new calls and let those in progress end within `grace` ms."""
        stopped = self._server.stop(grace / 1000)
        while not stopped.is_set():
            sleep(STOP_POLL / 1000)

    def _find(self, path):
        method = self._methods_by_path.get(path)
        if method is None:
            self._refuse("peer_method")
            return None

        def respond(data, context):
            return self._respond(method, data, context)

        return grpc.unary_unary_rpc_method_handler(respond)

    def _respond(self, method, data, context):
        """Answer one call; runs on a native thread and waits there."""
        metadata = context.invocation_metadata()
        if not is_authentic(self._peer_key, method.name, data, metadata):
            self._refuse("peer_key")
            context.abort(grpc.StatusCode.UNAUTHENTICATED, "wrong peer key")
        try:
            message = msgspec.msgpack.decode(data, type=method.type)
        except msgspec.DecodeError as error:
            self._refuse("peer_message")
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        future = Future()
        self._bridge.post(spawn_n, _run, method, message, future)
        try:
            return msgspec.msgpack.encode(future.result(_time_left(context)))
        except TimeoutError:
            self._refuse("peer_timeout")
            context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, "handler is too slow")
        except Exception as error:
            self._refuse("peer_handler")
            context.abort(grpc.StatusCode.INTERNAL, type(error).__name__)

    def _refuse(self, reason):
        """Count a refusal on the hub's thread, which owns the counters."""
        self._bridge.post(self._counters.add, f"refusal.{reason}")


class _Handlers(grpc.GenericRpcHandler):
    """Looks up handlers by path for grpcio."""

    def __init__(self, find):
        self._find = find

    def service(self, handler_call_details):
        """Return the handler of a call or None."""
        return self._find(handler_call_details.method)


def _run(method, message, future):
    """Run the handler on a green thread and hand its result to the native one."""
    try:
        future.set_result(method.handler(message))
    except Exception as error:
        log.exception("handler of {} failed", method.name)
        future.set_exception(error)


def _time_left(context):
    """Return the time until the caller gives up, in s."""
    remaining = context.time_remaining()
    longest = LONGEST_CALL / 1000
    return longest if remaining is None else min(longest, remaining)
