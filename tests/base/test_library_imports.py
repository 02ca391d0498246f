import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
ARCHITECTURE_PAGE = ROOT / "docs" / "developer" / "architecture.md"
DEPENDENCIES_ROW = re.compile(r"^\| `(\w+)` \| [^|]+ \| ([^|]+) \|$", re.MULTILINE)
EVENTLET_MODULE = "libs/base/src/mulberryhub/base/green.py"
BLOCKING_LIBRARY = "libs/cli/"


def dependencies_by_library():
    allowed = {}
    for library, names in DEPENDENCIES_ROW.findall(ARCHITECTURE_PAGE.read_text()):
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
def test_library_imports_only_documented_dependencies(library):
    allowed = dependencies_by_library()[library] | {library}
    for path in sorted((ROOT / "libs" / library).rglob("*.py")):
        for module in imported_modules(path):
            if module.startswith("mulberryhub."):
                dependency = module.split(".")[1]
                assert dependency in allowed, (
                    f"{path.relative_to(ROOT)} imports {module}"
                )


def test_only_one_module_imports_eventlet_and_urllib3():
    for path in sorted(ROOT.glob("libs/**/*.py")):
        relative = str(path.relative_to(ROOT))
        if relative == EVENTLET_MODULE or relative.startswith(BLOCKING_LIBRARY):
            continue
        for module in imported_modules(path):
            package = module.split(".")[0]
            assert package not in ("eventlet", "greenlet", "urllib3"), path
