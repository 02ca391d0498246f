import os

import msgspec
import pytest
from loguru import logger

from mulberryhub.base.lines import MAX_BURST_LINES
from mulberryhub.base.logs import configure_json_lines


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    configure_json_lines(writer)
    yield reader
    logger.remove()
    os.close(reader)
    os.close(writer)


def read_lines(reader):
    data = b""
    while True:
        try:
            chunk = os.read(reader, 1_000_000)
        except BlockingIOError:
            return [msgspec.json.decode(line) for line in data.splitlines()]
        data += chunk


def test_record_is_written_as_one_json_line(pipe):
    logger.info("attempt sent", request="r1", delay_ms=3)
    (line,) = read_lines(pipe)
    assert (line["message"], line["request"], line["delay_ms"]) == (
        "attempt sent",
        "r1",
        3,
    )
    assert line["level"] == "INFO"


def test_exception_is_written_with_its_frame_locations(pipe):
    try:
        raise ZeroDivisionError("why")
    except ZeroDivisionError:
        logger.exception("task failed")
    (line,) = read_lines(pipe)
    assert line["exception"] == "ZeroDivisionError: why"
    assert line["at"][0].startswith("test_lines.py:")


def test_lines_above_the_rate_limit_are_dropped_and_counted(pipe):
    for number in range(2 * MAX_BURST_LINES):
        logger.info("line", number=number)
    burst = read_lines(pipe)
    assert MAX_BURST_LINES <= len(burst) < 2 * MAX_BURST_LINES
    logger.warning("after")
    lines = burst + read_lines(pipe)
    written = [line for line in lines if line["message"] == "line"]
    dropped = [line["count"] for line in lines if line["message"] == "lines dropped"]
    assert sum(dropped) > 0
    assert len(written) + sum(dropped) == 2 * MAX_BURST_LINES
    assert lines[-1]["message"] == "after"


def test_full_pipe_does_not_block_the_writer(pipe):
    for number in range(MAX_BURST_LINES):
        logger.warning("x" * 1_000, number=number)
    read_lines(pipe)
    logger.warning("after")
    assert read_lines(pipe)[-1]["message"] == "after"
