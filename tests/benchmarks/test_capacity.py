from pathlib import Path

from benchmarks.capacity import table

PAGE = Path(__file__).parents[2] / "docs" / "CAPACITY.md"


def test_page_holds_the_table_that_follows_from_the_slopes():
    assert "\n".join(table()) in PAGE.read_text()
