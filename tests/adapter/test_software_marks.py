"""Marks of software versions and origins of streams in the platform's store."""

from time import sleep

import pytest

from mulberryhub.adapter.keyed_records import keyed_record
from mulberryhub.adapter.software_marks import MARKS_TOPIC, SoftwareMarks
from mulberryhub.adapter.store import StoreClient
from mulberryhub.adapter.stream_records import StreamRecords
from mulberryhub.adapter_standins.fleet import PlatformFleet, wait_until
from mulberryhub.base.clock import Clock
from mulberryhub.fleet.begun_streams import StreamBatch, digest_of
from mulberryhub.fleet.origin_log import OriginLog
from mulberryhub.fleet.software_marks import SoftwareMark
from mulberryhub.fleet.store import StoreUnavailable

LONG_NAME = "s" * 300
RESTART_TIME_S = 3  # after which routers have written what they find missing


@pytest.fixture
def store(fleet):
    return fleet.start("mulberryhub.adapter_standins.store")


def test_marks_of_any_service_and_version_are_read_back(store):
    marks = SoftwareMarks(StoreClient(store.address))
    written = [
        SoftwareMark("llm", None),
        SoftwareMark("llm", "None"),
        SoftwareMark(LONG_NAME, "\0é"),
        SoftwareMark("llm", "v1", is_closing=True),
    ]
    assert marks.read().marks == []
    marks.put(written)
    listing = marks.read()
    assert listing.is_reliable
    assert listing.keys == {mark.key for mark in written}
    assert {mark.key for mark in listing.marks if mark.is_closing} == {("llm", "v1")}


def test_mark_written_again_replaces_closing_one(store):
    marks = SoftwareMarks(StoreClient(store.address))
    marks.put([SoftwareMark("llm", "v1", is_closing=True)])
    marks.put([SoftwareMark("llm", "v1")])
    assert [mark.is_closing for mark in marks.read().marks] == [False]


def test_mark_is_not_removed_if_marks_were_written_since(store):
    marks = SoftwareMarks(StoreClient(store.address))
    marks.put([SoftwareMark("llm", "v1")])
    listing = marks.read()
    marks.put([SoftwareMark("llm", "v2")])
    with pytest.raises(StoreUnavailable):
        marks.remove(listing.marks[0], listing.end)
    assert marks.read().keys == {("llm", "v1"), ("llm", "v2")}
    listing = marks.read()
    marks.remove(SoftwareMark("llm", "v1"), listing.end)
    assert marks.read().keys == {("llm", "v2")}


def test_marks_from_before_a_revert_are_not_reliable(store):
    marks = SoftwareMarks(StoreClient(store.address))
    marks.put([SoftwareMark("llm", "v1")])
    store.request("POST", "/revert", body=b'{"age": 0, "away": 0}')
    assert not marks.read().is_reliable
    marks.put([SoftwareMark("llm", "v1")])
    assert marks.read().is_reliable


@pytest.mark.parametrize("value", [b"\xff", b"[" * 20_000, b"null", b'{"service": 1}'])
def test_unreadable_mark_is_skipped_and_told(store, value):
    client = StoreClient(store.address)
    marks = SoftwareMarks(client)
    marks.put([SoftwareMark("llm", "v1")])
    client.append_records(MARKS_TOPIC, [keyed_record("odd", value)])
    listing = marks.read()
    assert listing.keys == {("llm", "v1")}
    assert not listing.is_reliable


def test_origins_are_read_back_after_a_revert(store):
    losses = []
    records = StreamRecords(StoreClient(store.address))
    writer = OriginLog(records, lambda: losses.append("lost"), Clock())
    reader = OriginLog(StreamRecords(StoreClient(store.address)), lambda: None, Clock())
    for attempt_id in ("a", "b"):
        digest = digest_of("llm", attempt_id)
        writer.append([StreamBatch("llm", None, digest)])
        reader.read_new()
        assert reader.software_versions("llm", digest) == {None}
        assert reader.software_versions("other", digest) == set()
        store.request("POST", "/revert", body=b'{"age": 60, "away": 0}')
    assert losses == ["lost"]


def test_routers_mark_the_versions_in_service_and_none_again_after_a_restart(tmp_path):
    platform = PlatformFleet(tmp_path)
    marks = SoftwareMarks(StoreClient(platform.store.address))

    def marked_services():
        return {service for service, _ in marks.read().keys}

    def lines(message):
        return [
            line
            for router in platform.routers
            for line in router.lines()
            if line["message"] == message
        ]

    try:
        platform.configure()
        wait_until(lambda: marked_services() == {"llm", "desk"})
        for router in platform.routers:
            router.popen.kill()
            router.popen.wait()
        end = marks.read().end
        for router in platform.routers:
            router.start()
        wait_until(lambda: all(router.is_ready() for router in platform.routers))
        wait_until(lambda: len(lines("started")) == 4)
        sleep(RESTART_TIME_S)
        assert marks.read().end == end
        assert not lines("marks of software versions lost")
        assert not lines("task failed")
    finally:
        platform.close()
