"""In-process calls between routers, with simulated network faults."""

import msgspec

from mulberryhub.base.green import spawn
from mulberryhub.peers.client import PeerUnavailable


class LocalPeers:
    """Delivers peer calls by address.

    Calls to and from `unreachable_addresses`, and those of `lost_methods`, fail as if
    the connection had failed.
    """

    def __init__(self):
        self.handlers_by_address = {}
        self.unreachable_addresses = set()
        self.lost_methods = set()

    def server(self, address):
        handlers = self.handlers_by_address[address] = {}
        return LocalServer(handlers)

    def caller(self, source):
        def call(address, method, message, response_type, timeout):
            handlers = self.handlers_by_address.get(address, {})
            is_unreachable = (
                self.unreachable_addresses & {source, address}
                or method in self.lost_methods
            )
            if is_unreachable or method not in handlers:
                raise PeerUnavailable(address, method, "connection")
            type_, handler = handlers[method]
            data = msgspec.msgpack.encode(message)
            response = spawn(handler, msgspec.msgpack.decode(data, type=type_)).wait()
            return msgspec.msgpack.decode(
                msgspec.msgpack.encode(response), type=response_type
            )

        return call


class LocalServer:
    def __init__(self, handlers):
        self._handlers = handlers

    def register_handler(self, method, type_, handler):
        self._handlers[method] = (type_, handler)
