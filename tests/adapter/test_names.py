"""The platform's names stand in the adapter only, and the operators' page is whole."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
ADAPTER = "platform/src"
LIBRARIES = ("fleet", "forward", "http", "weights", "node")
NAMES = re.compile(
    r"x-mulberryhub-(attempt|deadline|model|token|prompt|tenant|expect|cache|kv|hold)|"
    r"x-mulberryhub-(request-priority|response|not-executed|instance|weight)|"
    r"log-append|log-read|log-newest|keyed\.|kv-events|kv-list|"
    r"apiKeys|pathPrefix|trafficSplit|ratePerS|nodeName|fencingToken|swapMode|"
    r"kvStoreAddr|bootEpoch|token_stream|hot_swap|MULBERRYHUB_SETTINGS",
    re.IGNORECASE,
)
LEVELS = ("info", "warning", "error", "exception")


@pytest.mark.parametrize("folder", ["libs", "soak", "benchmarks"])
def test_no_name_of_the_platform_stands_outside_its_folder(folder):
    paths = list((ROOT / folder).rglob("*.py"))
    assert paths
    for path in paths:
        found = NAMES.search(path.read_text())
        assert found is None, f"{path.relative_to(ROOT)}: {found.group()}"


def log_messages(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        if node.func.attr in LEVELS and getattr(node.func.value, "id", "") == "log":
            message = node.args[0]
            if isinstance(message, ast.Constant):
                yield message.value


def test_the_page_lists_each_line():
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    folders = [ROOT / "libs" / name / "src" for name in LIBRARIES] + [ROOT / ADAPTER]
    for folder in folders:
        for path in folder.rglob("*.py"):
            for message in log_messages(path):
                assert f"`{message}`" in page, f"{message!r} of {path.name}"
