"""Only the adapter uses platform names; the operators' page lists all log messages."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
ADAPTER_FOLDER = "platform/src"
LOGGING_LIBRARIES = ("fleet", "forward", "http", "releases", "weights", "node")
PLATFORM_NAMES = re.compile(
    r"x-mulberryhub-(attempt|deadline|model|token|prompt|tenant|expect|cache|kv|hold)|"
    r"x-mulberryhub-(request-priority|response|not-executed|instance|weight)|"
    r"log-append|log-read|log-newest|keyed\.|kv-events|kv-list|"
    r"apiKeys|pathPrefix|trafficSplit|ratePerS|nodeName|fencingToken|swapMode|"
    r"kvStoreAddr|bootEpoch|token_stream|hot_swap|MULBERRYHUB_SETTINGS",
    re.IGNORECASE,
)
LOG_METHODS = ("info", "warning", "error", "exception")


@pytest.mark.parametrize("folder", ["libs", "soak", "benchmarks"])
def test_platform_names_are_used_in_adapter_only(folder):
    paths = list((ROOT / folder).rglob("*.py"))
    assert paths
    for path in paths:
        match = PLATFORM_NAMES.search(path.read_text())
        assert match is None, f"{path.relative_to(ROOT)}: {match.group()}"


def find_log_messages(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        if (
            node.func.attr in LOG_METHODS
            and getattr(node.func.value, "id", "") == "log"
        ):
            message = node.args[0]
            if isinstance(message, ast.Constant):
                yield message.value


def test_operations_page_lists_all_log_messages():
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    folders = [ROOT / "libs" / name / "src" for name in LOGGING_LIBRARIES] + [
        ROOT / ADAPTER_FOLDER
    ]
    for folder in folders:
        for path in folder.rglob("*.py"):
            for message in find_log_messages(path):
                assert f"`{message}`" in page, f"{message!r} of {path.name}"
