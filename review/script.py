"""Runs a case: its record, its exit code, and the end of its processes."""

import asyncio
import os
import sys
import time
import traceback
from pathlib import Path

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
TIME_LIMIT_S = 110


class Record:
    """The lines of record.txt, with the seconds since the start of the script."""

    def __init__(self, path):
        self._path = path
        self._path.write_text("", encoding="utf-8")
        self._started = time.monotonic()

    def write(self, text):
        """Add a line to the record and print it."""
        line = f"{time.monotonic() - self._started:8.3f} s  {text}"
        with self._path.open("a", encoding="utf-8") as file:
            file.write(line + "\n")
        print(line)


def has_trouble():
    """Return whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case_file, case):
    """Run `case(record)`, which returns whether the rule was broken, and exit."""
    record = Record(Path(case_file).with_name("record.txt"))
    record.write(f"disruption: {'yes' if has_trouble() else 'no'}")

    async def run():
        async with asyncio.timeout(TIME_LIMIT_S):
            return await case(record)

    try:
        is_broken = asyncio.run(run())
    except Exception:
        record.write("the case could not run:\n" + traceback.format_exc())
        sys.exit(EXIT_NOT_RUN)
    record.write(f"result: the rule {'was broken' if is_broken else 'held'}")
    sys.exit(EXIT_BROKEN if is_broken else EXIT_HELD)
