"""Answers of a store that comes back from an older copy, also late or broken ones."""

import msgspec
import pytest

from mulberryhub.adapter.store import ERA, StoreClient
from mulberryhub.adapter.store_log import StoreLog
from mulberryhub.external.log import LogUnavailable, OffsetExpired
from mulberryhub.fleet.state import Topic
from mulberryhub.fleet.store import (
    HistoryLost,
    StoreReverted,
    StoreUnavailable,
    position_of,
)
from mulberryhub.http.client import Response
from mulberryhub.http.messages import Headers


class FakeHttpClient:
    """Returns the given responses in order, and records the queries."""

    def __init__(self):
        self.responses = []
        self.queries = []

    def send(self, address, request, timeout, max_bytes, max_silence):
        self.queries.append(request.target.partition(b"?")[2].decode())
        return self.responses.pop(0)


@pytest.fixture
def client():
    return StoreClient("127.0.0.1:1", FakeHttpClient())


def response(status, data, era):
    pairs = [] if era is None else [(ERA, era.encode())]
    return Response(status, data, Headers.from_pairs(pairs))


def page(end, first=0, era=None, records=()):
    data = end.to_bytes(8) + first.to_bytes(8)
    data += b"".join(len(item).to_bytes(4) + item for item in records)
    return response(200, data, era)


def gone(era=None, body=b'{"first":4}'):
    return response(410, body, era)


def listing(end, era=None, more=False):
    items = [{"key": "k", "offset": end - 1, "value": "dg=="}]
    data = msgspec.json.encode({"items": items, "end": end, "more": more})
    return response(200, data, era)


def answer(client, *responses):
    client._http_client.responses += responses


def read(client, position):
    return client.read(Topic.OPERATOR, position, 0)


def test_store_without_an_era_has_plain_offsets(client):
    answer(client, page(6, records=[b"\x01kv"]))
    batch = read(client, 5)
    assert batch.end == 6
    assert batch.entries[0].offset == 5


# An answer that breaks off within a record must not pass the record on as a whole one.
@pytest.mark.parametrize("cut_bytes", range(1, 7))
def test_record_that_is_cut_short_is_read_again(client, cut_bytes):
    whole = page(7, records=[b"\x01kv", b"\x01kw"])
    answer(client, response(200, whole.body[:-cut_bytes], None))
    batch = read(client, 5)
    assert [entry.value for entry in batch.entries] == [b"v"]
    assert batch.end == 6


@pytest.mark.parametrize("cut_bytes", range(1, 7))
def test_answer_that_breaks_off_within_its_first_record_is_none(client, cut_bytes):
    whole = page(6, records=[b"\x01kv"])
    answer(client, response(200, whole.body[:-cut_bytes], None))
    with pytest.raises(StoreUnavailable):
        read(client, 5)


@pytest.mark.parametrize("response", [page(3, era="2"), gone("2"), gone("2", b"{}")])
def test_read_in_a_later_era_reports_the_revert(client, response):
    answer(client, listing(9, "1"), response)
    end = client.newest(Topic.OPERATOR).end
    assert end == position_of(1, 9)
    with pytest.raises(StoreReverted) as reverted:
        read(client, end)
    assert reverted.value.first >= position_of(2, 0)
    assert "from=9" in client._http_client.queries[-1]


def test_history_that_expired_in_the_same_era_is_no_revert(client):
    answer(client, listing(9, "1"), gone("1"))
    client.newest(Topic.OPERATOR)
    with pytest.raises(HistoryLost) as lost:
        read(client, position_of(1, 2))
    assert not isinstance(lost.value, StoreReverted)
    assert lost.value.first == position_of(1, 4)


@pytest.mark.parametrize("response", [page(9, era="1"), gone("1"), listing(9, "1")])
def test_answer_from_before_the_revert_is_dropped(client, response):
    answer(client, listing(3, "2"), response)
    client.newest(Topic.OPERATOR)
    with pytest.raises(StoreUnavailable):
        read(client, position_of(2, 3))


def test_position_of_a_later_era_from_another_router_is_not_lowered(client):
    answer(client, page(9, era="1"))
    with pytest.raises(StoreUnavailable):
        read(client, position_of(2, 3))


def test_listing_over_two_eras_is_not_used(client):
    answer(client, listing(9, "1", more=True), listing(3, "2"))
    with pytest.raises(StoreUnavailable):
        client.newest(Topic.OPERATOR)


@pytest.mark.parametrize("era", [None, "", "two", "-1", "1.5", "9" * 40])
def test_missing_or_unreadable_era_counts_as_the_last_one(client, era):
    answer(client, listing(9, "2"), page(9, era=era))
    client.newest(Topic.OPERATOR)
    assert read(client, position_of(2, 9)).end == position_of(2, 9)


def test_end_of_a_topic_is_found_where_reads_beyond_it_fail(client):
    log = StoreLog(client)
    answer(client, gone("1"), page(8, first=4, era="1"))
    assert log.end("lease") == position_of(1, 8)


@pytest.mark.parametrize("body", [b'{"first":4}', b"{}", b"", b"gone"])
def test_log_reports_reverts_and_expired_offsets(client, body):
    log = StoreLog(client)
    answer(client, *[page(9, era="1")] * 2, gone("1", body), gone("2", body))
    assert log.end("lease") == position_of(1, 9)
    with pytest.raises(OffsetExpired):
        log.read("lease", position_of(1, 2), 100)
    with pytest.raises(OffsetExpired) as expired:
        log.read("lease", position_of(1, 9), 100)
    assert expired.value.oldest >= position_of(2, 0)


def test_lost_answer_to_an_append_is_unavailable(client):
    log = StoreLog(client)
    answer(client, listing(9, "2"), response(200, b'{"offset":9,"end":10}', "1"))
    client.newest(Topic.OPERATOR)
    with pytest.raises(LogUnavailable):
        log.append("lease", [b"x"])


@pytest.mark.parametrize("is_repeated", [False, True])
def test_listing_without_an_end_is_given_up(client, is_repeated):
    # Guards against a process that ends for the memory of pages that never end.
    for number in range(100):
        key = "k" if is_repeated else f"k{number}"
        items = [{"key": key, "offset": 1, "value": "dg==" * 100_000}]
        document = {"items": items, "end": 200, "more": True}
        answer(client, response(200, msgspec.json.encode(document), None))
    with pytest.raises(StoreUnavailable):
        client.newest(Topic.OPERATOR)
