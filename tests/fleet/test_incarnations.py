"""Which of two records is of a later incarnation of an upstream."""

import pytest

from mulberryhub.fleet.incarnations import UNKNOWN_OFFSET, is_later
from mulberryhub.fleet.store import position_of
from tests.forward.fakes import make_upstream


def is_second_later(first, second):
    one, other = (
        make_upstream("u1", offset, started=at) for offset, at in (first, second)
    )
    return is_later(other, one)


@pytest.mark.parametrize("started", [1, 900], ids=["behind", "ahead"])
def test_offset_decides_whatever_the_clock_of_the_upstream_said(started):
    assert is_second_later((1, 500), (2, started))
    assert not is_second_later((2, 500), (1, started))


def test_record_of_a_later_era_of_the_store_is_later():
    assert is_second_later((position_of(0, 90), 500), (position_of(1, 2), 1))


def test_records_of_one_incarnation_are_not_later():
    assert not is_second_later((1, 500), (2, 500))


@pytest.mark.parametrize("offsets", [(UNKNOWN_OFFSET, 2), (2, UNKNOWN_OFFSET)])
def test_start_decides_where_an_offset_is_unknown(offsets):
    first_offset, second_offset = offsets
    assert is_second_later((first_offset, 5), (second_offset, 6))
    assert not is_second_later((first_offset, 6), (second_offset, 5))
