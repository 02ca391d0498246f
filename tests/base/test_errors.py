import re
from pathlib import Path

from mulberryhub.base.errors import ErrorCode

CALLS_PAGE = Path(__file__).parents[2] / "docs" / "user" / "calls.md"


def test_user_documentation_lists_each_code_with_its_status():
    rows = re.findall(r"^\| `(\w+)` \| (\d+) \|", CALLS_PAGE.read_text(), re.MULTILINE)
    status_by_label = {label: int(status) for label, status in rows}
    assert status_by_label == {code.label: code.status for code in ErrorCode}
