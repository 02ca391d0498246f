import os

import msgspec
import pytest
from loguru import logger

from mulberryhub.base.lines import BURST
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
            piece = os.read(reader, 1_000_000)
        except BlockingIOError:
            return [msgspec.json.decode(line) for line in data.splitlines()]
        data += piece


def test_a_line_is_one_object(pipe):
    logger.info("attempt sent", request="r1", delay_ms=3)
    (line,) = read_lines(pipe)
    assert (line["message"], line["request"], line["delay_ms"]) == (
        "attempt sent",
        "r1",
        3,
    )
    assert line["level"] == "INFO"


def test_an_exception_has_its_places(pipe):
    try:
        raise ZeroDivisionError("why")
    except ZeroDivisionError:
        logger.exception("task failed")
    (line,) = read_lines(pipe)
    assert line["exception"] == "ZeroDivisionError: why"
    assert line["at"][0].startswith("test_lines.py:")


def test_a_flood_is_bounded_and_said(pipe):
    for number in range(2 * BURST):
        logger.info("line", number=number)
    flood = read_lines(pipe)
    assert BURST <= len(flood) < 2 * BURST
    logger.warning("after")
    lines = flood + read_lines(pipe)
    written = [line for line in lines if line["message"] == "line"]
    dropped = [line["count"] for line in lines if line["message"] == "lines dropped"]
    assert sum(dropped) > 0
    assert len(written) + sum(dropped) == 2 * BURST
    assert lines[-1]["message"] == "after"


def test_a_reader_that_stops_reading_blocks_nobody(pipe):
    for number in range(BURST):
        logger.warning("x" * 1_000, number=number)
    read_lines(pipe)
    logger.warning("after")
    assert read_lines(pipe)[-1]["message"] == "after"
