"""Orders to engines whose connections carry more than the answers that are due."""

from mulberryhub.adapter.engines import EngineClient
from mulberryhub.base.clock import Clock
from mulberryhub.http.client import HttpClient
from mulberryhub.weights.messages import LoadOrder, OrderResult
from tests.forward.fakes import MODEL, make_upstream
from tests.http.support import ScriptedUpstream

REPORT = b'{"models":[],"busy":false,"sequence":0,"running":0,"waiting":0}'
REPORT_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(REPORT)
FENCED_RESPONSE = b"HTTP/1.1 412 Odd\r\nContent-Length: 0\r\n\r\n"
ACCEPTED_RESPONSE = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"


def report_and_repeat_an_old_answer(sock, engine):
    engine.read_head(sock)
    sock.sendall(REPORT_RESPONSE + REPORT)
    engine.read_head(sock)
    sock.sendall(FENCED_RESPONSE + ACCEPTED_RESPONSE)


def accept_order(sock, engine):
    engine.read_head(sock)
    sock.sendall(ACCEPTED_RESPONSE)


def test_answer_left_on_a_connection_is_not_taken_for_that_to_an_order():
    engine = ScriptedUpstream(report_and_repeat_an_old_answer, accept_order)
    upstream = make_upstream("u1", address=engine.address)
    client = EngineClient(HttpClient(Clock()))
    assert client.read_report(upstream) is not None
    order = LoadOrder(MODEL, 2, "n1", 1, 0, cuts_running_requests=False)
    assert client.send_order(upstream, order) is OrderResult.ACCEPTED
