"""What is read of the records that upstreams write about themselves."""

import pytest

from mulberryhub.adapter.records import read_upstream
from mulberryhub.base.ranges import MAX_TEXT_LENGTH
from mulberryhub.fleet.store import Entry

RECORD = b'{"service":"s","address":"a:1","zone":"z","state":"ready"%s}'


def read(more=b""):
    return read_upstream(Entry("u1", 7, RECORD % more))


@pytest.mark.parametrize(
    "value, software_version",
    [
        (b'"4.1"', "4.1"),
        (b'""', ""),
        (b'"4\\u002e1"', "4.1"),
        (b"4", "4"),
        (b"4.10", "4.10"),
        (b"-1e3", "-1e3"),
        (b"9" * MAX_TEXT_LENGTH, "9" * MAX_TEXT_LENGTH),
        (b"9" * 5_000, None),
        (b'"%s"' % (b"a" * 5_000), None),
        (b"null", None),
        (b"true", None),
        (b'["4.1"]', None),
        (b'{"major":4}', None),
        (b'"\xff"', None),
    ],
)
def test_software_version_is_text_or_a_number_as_written(value, software_version):
    assert read(b',"version":%s' % value).software_version == software_version


def test_record_without_a_software_version_names_none():
    assert read().software_version is None
