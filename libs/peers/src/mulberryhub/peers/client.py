"""RPC client for calls to other routers; calls block only their green thread."""

import grpc
import msgspec

from mulberryhub.base.clock import Clock
from mulberryhub.base.counters import Counters
from mulberryhub.base.green import Event
from mulberryhub.peers.authentication import MAC_METADATA_KEY, message_mac
from mulberryhub.peers.bridge import Bridge
from mulberryhub.peers.transport import CLIENT_OPTIONS, method_path

IDLE_TIMEOUT_MS = 300_000


class PeerUnavailable(Exception):
    """A peer gave no usable response; the call may still have taken effect.

    `reason` is `timeout`, `connection`, `refused`, `failed` or `malformed`.
    """

    def __init__(self, address, method, reason, details=""):
        super().__init__(f"{address} {method}: {reason} {details}".strip())
        self.address = address
        self.method = method
        self.reason = reason


REASONS_BY_STATUS_CODE = {
    grpc.StatusCode.DEADLINE_EXCEEDED: "timeout",
    grpc.StatusCode.UNAVAILABLE: "connection",
    grpc.StatusCode.CANCELLED: "connection",
    grpc.StatusCode.UNAUTHENTICATED: "refused",
    grpc.StatusCode.RESOURCE_EXHAUSTED: "refused",
    grpc.StatusCode.UNIMPLEMENTED: "refused",
    grpc.StatusCode.INVALID_ARGUMENT: "refused",
}


class PeerConnection:
    """A gRPC channel and the monotonic times in ms of its last call and response."""

    __slots__ = ("channel", "last_call_at", "last_response_at")

    def __init__(self, address, now):
        self.channel = grpc.insecure_channel(address, options=CLIENT_OPTIONS)
        self.last_call_at = now
        self.last_response_at = now


class PeerClient:
    """Calls methods of other routers by address (host:port) and reuses connections.

    `peer_key` is the secret shared by all routers.
    """

    __slots__ = (
        "_peer_key",
        "_clock",
        "_counters",
        "_bridge",
        "_connections_by_address",
    )

    def __init__(self, peer_key, clock=None, counters=None):
        self._peer_key = peer_key
        self._clock = clock or Clock()
        self._counters = counters or Counters()
        self._bridge = Bridge()
        self._connections_by_address = {}

    def call(self, address, method, message, response_type, timeout):
        """Send `message` and return the response; block only this green thread.

        `message` is a msgspec.Struct and `response_type` the type of the response.
        Raise PeerUnavailable if there is no valid response within `timeout` ms; the
        call may still have taken effect.
        """
        data = msgspec.msgpack.encode(message)
        connection = self._connect(address)
        started = self._clock.now()
        connection.last_call_at = started
        future = self._send(connection, method, data, timeout)
        status = future.code()
        if status is grpc.StatusCode.OK:
            connection.last_response_at = self._clock.now()
            return self._decode(address, method, future.result(), response_type)
        reason = REASONS_BY_STATUS_CODE.get(status, "failed")
        # The connection may be dead if nothing was received since the call was sent.
        if reason == "timeout" and connection.last_response_at <= started:
            self._disconnect(address, connection)
        self._counters.add(f"peer_failure.{reason}")
        raise PeerUnavailable(address, method, reason, future.details() or "")

    def close(self):
        """Close all connections; calls in progress fail."""
        for connection in self._connections_by_address.values():
            connection.channel.close()
        self._connections_by_address.clear()

    def _send(self, connection, method, data, timeout):
        call = connection.channel.unary_unary(method_path(method))
        metadata = ((MAC_METADATA_KEY, message_mac(self._peer_key, method, data)),)
        future = call.future(data, timeout=timeout / 1000, metadata=metadata)
        done = Event()
        future.add_done_callback(lambda _: self._bridge.post(done.send))
        try:
            done.wait()
        except BaseException:
            # The green thread was killed, or a Timeout of the caller expired.
            future.cancel()
            raise
        return future

    def _decode(self, address, method, data, response_type):
        try:
            return msgspec.msgpack.decode(data, type=response_type)
        except msgspec.DecodeError as error:
            self._counters.add("peer_failure.malformed")
            raise PeerUnavailable(address, method, "malformed", str(error)) from error

    def _connect(self, address):
        connection = self._connections_by_address.get(address)
        if connection is None:
            self._close_idle()
            connection = PeerConnection(address, self._clock.now())
            self._connections_by_address[address] = connection
        return connection

    def _disconnect(self, address, connection):
        """Close a connection; the next call to `address` opens a new one."""
        if self._connections_by_address.get(address) is connection:
            del self._connections_by_address[address]
        connection.channel.close()

    def _close_idle(self):
        idle_before = self._clock.now() - IDLE_TIMEOUT_MS
        for address, connection in list(self._connections_by_address.items()):
            if connection.last_call_at < idle_before:
                self._disconnect(address, connection)
