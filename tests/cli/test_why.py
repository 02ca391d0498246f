import io
import sys

import msgspec

from mulberryhub.cli.why import CAUSE_BY_OUTCOME, why
from mulberryhub.forward.refusal import Reason

SENT = {"time": "2026-01-01T00:00:01", "message": "attempt sent", "request": "r1"}
FAILED = {**SENT, "time": "2026-01-01T00:00:02", "message": "attempt failed"}
NOT_SERVED = {
    **SENT,
    "time": "2026-01-01T00:00:03",
    "message": "request not served",
    "outcome": "upstream_failed",
}
OTHER_REQUEST = {**SENT, "request": "r2"}


def write_log(path, *lines):
    path.write_bytes(b"\n".join(msgspec.json.encode(line) for line in lines) + b"\n")
    return str(path)


def test_lines_of_several_routers_are_sorted_by_time(tmp_path, capsys, snapshot):
    first = write_log(tmp_path / "a.log", FAILED, OTHER_REQUEST)
    second = write_log(tmp_path / "b.log", NOT_SERVED, SENT)
    assert why("r1", first, second) == 0
    assert capsys.readouterr().out == snapshot


def test_json_output_has_the_lines_and_the_cause(tmp_path, capsys):
    assert why("r1", write_log(tmp_path / "a.log", SENT, NOT_SERVED), json=True) == 0
    trace = msgspec.json.decode(capsys.readouterr().out)
    assert len(trace["lines"]) == 2
    assert trace["cause"] == CAUSE_BY_OUTCOME["upstream_failed"]


def test_lines_that_are_not_json_are_skipped(monkeypatch, capsys):
    data = b"not ours r1\n" + msgspec.json.encode(SENT) + b"\n"
    monkeypatch.setattr(sys, "stdin", io.TextIOWrapper(io.BytesIO(data)))
    assert why("r1") == 0
    assert "no line has its outcome" in capsys.readouterr().out


def test_unknown_request_is_an_error(tmp_path):
    assert why("r9", write_log(tmp_path / "a.log", SENT)) == 1


def test_every_outcome_has_a_cause():
    outcomes = {reason.label for reason in Reason} - {"bad_request"}
    assert outcomes <= set(CAUSE_BY_OUTCOME)
