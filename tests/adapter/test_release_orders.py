import pytest

from mulberryhub.adapter.records import read_operator
from mulberryhub.fleet.release_records import ReleaseOrder
from mulberryhub.fleet.store import Entry

GOOD = b'{"service": "s", "target": "v2", "durationS": 0.5, "more": 1}'


def read(value, key="rollout/s"):
    return read_operator(Entry(key, 7, value))


def test_order_is_read_as_written():
    """A number as the target loses its digits, or a withdrawal is skipped."""
    assert read(GOOD) == ReleaseOrder("s", "v2", 500, 7)
    assert read(GOOD.replace(b'"v2"', b"4.10")).target == "4.10"
    assert read(None).is_withdrawn


@pytest.mark.parametrize(
    "old, new",
    [
        (b'"target": "v2", ', b""),
        (b'"v2"', b'""'),
        (b'"v2"', b"null"),
        (b"0.5", b"0"),
        (b"0.5", b"-3"),
        (b"0.5", b'"12"'),
        (b"0.5", b"1e99"),
        (b'"s"', b'"other"'),
        (b"}", b""),
        (GOOD, b"[" * 100_000),
    ],
)
def test_malformed_order_is_skipped(old, new):
    """An order that can't be executed stops a router or begins a release."""
    assert read(GOOD.replace(old, new)) is None
    assert read(GOOD, "rollout/") is None
