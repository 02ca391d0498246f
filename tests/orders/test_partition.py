import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.base.green import spawn
from mulberryhub.orders.marks import QUIET_TIME, mark_if_quiet
from mulberryhub.orders.partition import PAGE, HistoryExpired, Partition
from mulberryhub.orders.records import Claim, Mark
from tests.support.memory_log import MemoryLog


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def log(clock):
    return MemoryLog(clock)


def partition_of(log, cached=64):
    return Partition(log, "claims-0", cached)


def claim(nonce=b"n", key=b"key"):
    return Claim(key, nonce, 0, b"")


def test_concurrent_appends_share_one_request(log):
    partition = partition_of(log)
    threads = [spawn(partition.append, claim(bytes([n]))) for n in range(20)]
    appends = []
    log.next_fault = lambda: appends.append(1) or "none"
    assert sorted(thread.wait() for thread in threads) == list(range(20))
    assert len(appends) == 1


def test_reads_back_only_as_far_as_asked(log, clock):
    writer = partition_of(log)
    for _ in range(1_000):
        clock.advance(1_000)
        log.add("claims-0", [b"\x81\xa4type\xa1m"])
    since = clock.wall() - 10_000
    end = writer.append(claim())
    log.reads = 0
    entries = partition_of(log).history(b"key", since, end)
    assert [entry.offset for entry in entries] == [end]
    assert log.reads == 1


def test_reads_back_over_many_pages(log, clock):
    partition_of(log).append(claim())
    clock.advance(1_000)
    for _ in range(5 * PAGE):
        log.add("claims-0", [b""])
    since = clock.wall() - 500
    clock.advance(1_000)
    log.reads = 0
    assert len(partition_of(log).history(b"key", since)) == 1
    assert log.reads > 3


def test_expired_records_that_may_matter_are_an_error(log, clock):
    writer = partition_of(log)
    start = clock.wall()
    for nonce in range(10):
        writer.append(claim(bytes([nonce])))
        clock.advance(1_000)
    log.oldest = 5
    reader = partition_of(log)
    with pytest.raises(HistoryExpired):
        reader.history(b"key", start + 4_000)
    assert len(reader.history(b"key", start + 5_500)) == 5


def test_all_expired_is_an_error(log, clock):
    end = partition_of(log).append(claim())
    log.oldest = end + 1
    with pytest.raises(HistoryExpired):
        partition_of(log).history(b"key", clock.wall(), end)


def test_reader_left_behind_by_retention_forgets_what_it_had(log, clock):
    partition = partition_of(log)
    partition.history(b"key", 0, partition.append(claim()))
    for _ in range(200):
        log.add("claims-0", [b""])
    log.oldest = 150
    with pytest.raises(HistoryExpired):
        partition.history(b"key", clock.wall())


def test_quiet_stream_is_marked(log, clock):
    counters = Counters()
    partition = partition_of(log)
    mark_if_quiet(partition, clock.wall(), counters)
    assert "claims-0" not in log.records_by_stream
    partition.append(claim())
    mark_if_quiet(partition, clock.wall(), counters)
    assert len(log.records_by_stream["claims-0"]) == 1
    clock.advance(QUIET_TIME)
    mark_if_quiet(partition, clock.wall(), counters)
    log.oldest = 2
    mark_if_quiet(partition_of(log), clock.wall(), counters)
    assert len(log.records_by_stream["claims-0"]) == 3
    assert counters.by_name["orders.marks"] == 2


def test_unreadable_record_is_passed_over(log):
    log.add("claims-0", [b"\xc1", b"nonsense"])
    partition = partition_of(log)
    assert len(partition.history(b"key", 0, partition.append(claim()))) == 1
    assert partition.append(Mark()) == 3
