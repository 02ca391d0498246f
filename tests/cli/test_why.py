import io
import sys

import msgspec

from mulberryhub.cli.why import CAUSE_BY_OUTCOME, why
from mulberryhub.forward.refusal import Reason

SENT = {"time": "2026-01-01T00:00:01", "message": "attempt sent", "request": "r1"}
FAILED = {**SENT, "time": "2026-01-01T00:00:02", "message": "attempt failed"}
ENDED = {
    **SENT,
    "time": "2026-01-01T00:00:03",
    "message": "request not served",
    "outcome": "upstream_failed",
}
OTHER = {**SENT, "request": "r2"}


def write(path, *lines):
    path.write_bytes(b"\n".join(msgspec.json.encode(line) for line in lines) + b"\n")
    return str(path)


def test_lines_of_several_routers_come_in_order(tmp_path, capsys, snapshot):
    first = write(tmp_path / "a.log", FAILED, OTHER)
    second = write(tmp_path / "b.log", ENDED, SENT)
    assert why("r1", first, second) == 0
    assert capsys.readouterr().out == snapshot


def test_json(tmp_path, capsys):
    assert why("r1", write(tmp_path / "a.log", SENT, ENDED), json=True) == 0
    story = msgspec.json.decode(capsys.readouterr().out)
    assert len(story["lines"]) == 2
    assert story["cause"] == CAUSE_BY_OUTCOME["upstream_failed"]


def test_standard_input_with_strange_lines(monkeypatch, capsys):
    data = b"not ours r1\n" + msgspec.json.encode(SENT) + b"\n"
    monkeypatch.setattr(sys, "stdin", io.TextIOWrapper(io.BytesIO(data)))
    assert why("r1") == 0
    assert "no line tells its end" in capsys.readouterr().out


def test_an_unknown_request(tmp_path):
    assert why("r9", write(tmp_path / "a.log", SENT)) == 1


def test_each_refusal_has_a_cause():
    outcomes = {reason.label for reason in Reason} - {"bad_request"}
    assert outcomes <= set(CAUSE_BY_OUTCOME)
