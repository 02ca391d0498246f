"""Arbitrary bytes neither crash the parsers nor make them handle a request twice."""

from hypothesis import given, settings, strategies as st

from mulberryhub.base.clock import Clock
from mulberryhub.base.green import spawn
from mulberryhub.http.limits import RequestLimits
from mulberryhub.http.messages import Headers, Request, ResponseBroken
from mulberryhub.http.outbound import OutboundConnection
from tests.http.support import ScriptedUpstream, running_server, send_and_read_all

FRAGMENTS = [
    b"POST /a HTTP/1.1\r\n",
    b"GET /b HTTP/1.1\r\n",
    b"HTTP/1.1 200 OK\r\n",
    b"Host: x\r\n",
    b"Content-Length: 3\r\n",
    b"Content-Length: 5\r\n",
    b"Content-Length: +3\r\n",
    b"Content-Length:3\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: xchunked\r\n",
    b" folded\r\n",
    b"Connection: close\r\n",
    b"\r\n",
    b"3\r\nabc\r\n",
    b"0\r\n\r\n",
    b"abc",
    b"\x00",
    b"\n",
]
SHORT_TIMEOUTS = RequestLimits(
    max_header_bytes=2_000,
    max_body_bytes=10_000,
    header_timeout_ms=20,
    idle_timeout_ms=20,
)
BYTE_STREAMS = st.lists(st.sampled_from(FRAGMENTS) | st.binary(max_size=8), max_size=14)


@given(BYTE_STREAMS)
@settings(max_examples=150, deadline=None)
def test_server_handles_arbitrary_bytes_from_a_client(pieces):
    data = b"".join(pieces)
    handled = []

    def handle(request, connection):
        handled.append(request)
        connection.start_response(200, Headers(), 0)
        return connection.finish_response()

    with running_server(handle, SHORT_TIMEOUTS) as server:
        response = send_and_read_all(server.address, data)
    assert len(handled) <= data.count(b"HTTP/1.1")
    assert response.count(b"HTTP/1.1 200") == len(handled)
    for request in handled:
        assert len(request.headers.get_all(b"content-length")) <= 1


@given(BYTE_STREAMS)
@settings(max_examples=150, deadline=None)
def test_client_handles_arbitrary_bytes_from_an_upstream(pieces):
    def script(sock, upstream):
        upstream.read_head(sock)
        sock.sendall(b"".join(pieces))
        sock.close()

    upstream = ScriptedUpstream(script)
    connection = OutboundConnection.open(upstream.address, 1_000, Clock())
    request = Request(b"GET", b"/", Headers.from_pairs([(b"Host", b"x")]))

    def exchange():
        connection.send(request, 1_000)
        connection.read_head(1_000)
        while connection.read_data(1_000) is not None:
            pass
        return connection.prepare_for_reuse(0)

    try:
        spawn(exchange).wait()
    except ResponseBroken:
        pass
    finally:
        connection.close()
