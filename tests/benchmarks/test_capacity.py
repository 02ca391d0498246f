from pathlib import Path

from benchmarks.capacity import table

CAPACITY_PAGE = Path(__file__).parents[2] / "docs" / "CAPACITY.md"


def test_capacity_page_contains_the_computed_table():
    assert "\n".join(table()) in CAPACITY_PAGE.read_text()
