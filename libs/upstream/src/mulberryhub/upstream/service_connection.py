"""HTTP connections to services, kept for further requests where that is safe."""

from functools import partial
from math import inf

from mulberryhub.base.clock import Clock
from mulberryhub.base.connection_state import has_taken_all
from mulberryhub.base.green import socket, urllib3
from mulberryhub.base.logs import module_logger
from mulberryhub.upstream.bounded_http import BoundedResponse, HTTPConnection
from mulberryhub.upstream.chunked import MalformedBody
from mulberryhub.upstream.framing import LengthDecoder, body_decoder

log = module_logger(__name__)

MAX_READ_BYTES = 65_536
REQUEST_ID_HEADER = "X-Request-Id"


class ServiceHttpResponse(BoundedResponse):
    """Response whose body is decoded strictly.

    The connection is not used again if there were bytes behind the response, or if
    the response does not state its request, so that a later one could not be told
    from an answer to another request. `is_request_sent` tells whether the request was
    sent without an error.
    """

    is_request_sent = True

    def __init__(self, connected_socket, *arguments, **options):
        super().__init__(connected_socket, *arguments, **options)
        self._connected_socket = connected_socket
        self._decoder = None

    def begin(self):
        """Read the head of the response."""
        super().begin()
        has_no_body = self.length == 0
        self._decoder = LengthDecoder(0) if has_no_body else body_decoder(self.headers)

    def read(self, amt=None):
        """Wait for payload and return it, or b"" at the end of the body.

        Raises MalformedBody if the body is cut or malformed, also if it seems to end
        with the connection, but the service had not taken the whole request by then.
        """
        while not self._decoder.ended:
            data = self.fp.read1(amt or MAX_READ_BYTES)
            payload = self._decoder.feed(data)
            if payload:
                return payload
            if not data and not self._decoder.ended:
                raise MalformedBody("the body is cut")
        if not self._decoder.states_end and not self._has_taken_request():
            raise MalformedBody("the connection ended within the request")
        self._end()
        return b""

    def _has_taken_request(self):
        """Return whether the service took all of the request; the caller limits it."""
        return self.is_request_sent and has_taken_all(
            self._connected_socket, inf, Clock().now
        )

    def _end(self):
        if self._decoder.has_surplus or REQUEST_ID_HEADER not in self.headers:
            self._disconnect()
        self.close()

    def _disconnect(self):
        try:
            self._connected_socket.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            log.debug("a service has closed its connection: {}", error)


class ServiceConnection(HTTPConnection):
    """Connection whose responses have at most `max_response_bytes` each.

    `is_kept` of a response tells whether there was one before it on the connection.
    """

    def __init__(self, *arguments, max_response_bytes, **options):
        super().__init__(*arguments, **options)
        self.response_class = partial(ServiceHttpResponse, max_bytes=max_response_bytes)
        self._has_had_response = False
        self._is_request_sent = True

    def request(self, *arguments, **options):
        """Send a request; urllib3 reads the response even if that fails."""
        self._is_request_sent = False
        super().request(*arguments, **options)
        self._is_request_sent = True

    def connect(self):
        """Connect the socket."""
        self._has_had_response = False
        super().connect()

    def getresponse(self):
        """Read the head of the response to the last request."""
        response = super().getresponse()
        response.is_kept = self._has_had_response
        response.is_request_sent = self._is_request_sent
        self._has_had_response = True
        return response


class ServiceConnectionPool(urllib3.HTTPConnectionPool):
    """Pool of connections to one address."""

    ConnectionCls = ServiceConnection
