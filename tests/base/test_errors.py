import re
from pathlib import Path

from mulberryhub.base.errors import Code

PAGE = Path(__file__).parents[2] / "docs" / "user" / "calls.md"


def test_page_lists_each_code_with_its_status():
    rows = re.findall(r"^\| `(\w+)` \| (\d+) \|", PAGE.read_text(), re.MULTILINE)
    listed = {label: int(status) for label, status in rows}
    assert listed == {code.label: code.status for code in Code}
