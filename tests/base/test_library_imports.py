import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "developer" / "architecture.md"
ROW = re.compile(r"^\| `(\w+)` \| [^|]+ \| ([^|]+) \|$", re.MULTILINE)
GREEN = "libs/base/src/mulberryhub/base/green.py"
BLOCKING = "libs/cli/"


def allowed_by_library():
    allowed = {}
    for library, names in ROW.findall(PAGE.read_text()):
        if names.strip() == "all above":
            allowed[library] = set(allowed)
        else:
            allowed[library] = set(re.findall(r"\w+", names))
    return allowed


def imported_modules(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{path} has a relative import"
            yield node.module
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


@pytest.mark.parametrize("library", sorted(path.name for path in ROOT.glob("libs/*")))
def test_library_imports_only_what_the_page_allows(library):
    allowed = allowed_by_library()[library] | {library}
    for path in sorted((ROOT / "libs" / library).rglob("*.py")):
        for module in imported_modules(path):
            if module.startswith("mulberryhub."):
                used = module.split(".")[1]
                assert used in allowed, f"{path.relative_to(ROOT)} imports {module}"


def test_daemon_names_green_modules_in_one_place():
    for path in sorted(ROOT.glob("libs/**/*.py")):
        place = str(path.relative_to(ROOT))
        if place == GREEN or place.startswith(BLOCKING):
            continue
        for module in imported_modules(path):
            first = module.split(".")[0]
            assert first not in ("eventlet", "greenlet", "urllib3"), path
