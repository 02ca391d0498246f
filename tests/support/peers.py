"""Calls between routers of one process, with faults."""

import msgspec

from mulberryhub.base.green import spawn
from mulberryhub.peers.client import PeerUnavailable


class LocalPeers:
    """Delivers calls by address; `cut` addresses neither send nor answer."""

    def __init__(self):
        self.handlers_by_address = {}
        self.cut = set()
        self.lost_methods = set()

    def server(self, address):
        handlers = self.handlers_by_address[address] = {}
        return LocalServer(handlers)

    def caller(self, source):
        def call(address, method, message, response_type, timeout):
            handlers = self.handlers_by_address.get(address, {})
            is_cut = self.cut & {source, address} or method in self.lost_methods
            if is_cut or method not in handlers:
                raise PeerUnavailable(address, method, "connection")
            type_, handler = handlers[method]
            data = msgspec.msgpack.encode(message)
            answer = spawn(handler, msgspec.msgpack.decode(data, type=type_)).wait()
            return msgspec.msgpack.decode(
                msgspec.msgpack.encode(answer), type=response_type
            )

        return call


class LocalServer:
    def __init__(self, handlers):
        self._handlers = handlers

    def register_handler(self, method, type_, handler):
        self._handlers[method] = (type_, handler)
