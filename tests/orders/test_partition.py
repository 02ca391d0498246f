import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.base.counters import Counters
from mulberryhub.base.green import spawn
from mulberryhub.orders.heartbeats import IDLE_THRESHOLD_MS, append_heartbeat_if_idle
from mulberryhub.orders.partition import PAGE_RECORD_COUNT, HistoryExpired, Partition
from mulberryhub.orders.records import Claim, Heartbeat
from tests.support.memory_log import MemoryLog


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def log(clock):
    return MemoryLog(clock)


def make_partition(log, max_cached_records=64):
    return Partition(log, "claims-0", max_cached_records)


def make_claim(nonce=b"n", key=b"key"):
    return Claim(key, nonce, 0, b"")


def test_concurrent_appends_share_one_request(log):
    partition = make_partition(log)
    threads = [spawn(partition.append, make_claim(bytes([n]))) for n in range(20)]
    appends = []
    log.next_fault = lambda: appends.append(1) or "none"
    assert sorted(thread.wait() for thread in threads) == list(range(20))
    assert len(appends) == 1


def test_history_is_read_back_only_as_far_as_asked(log, clock):
    writer = make_partition(log)
    for _ in range(1_000):
        clock.advance(1_000)
        log.add("claims-0", [b"\x81\xa4type\xa1m"])
    since_ms = clock.wall() - 10_000
    offset = writer.append(make_claim())
    log.reads = 0
    entries = make_partition(log).read_history(b"key", since_ms, offset)
    assert [entry.offset for entry in entries] == [offset]
    assert log.reads == 1


def test_history_is_read_back_over_many_pages(log, clock):
    make_partition(log).append(make_claim())
    clock.advance(1_000)
    for _ in range(5 * PAGE_RECORD_COUNT):
        log.add("claims-0", [b""])
    since_ms = clock.wall() - 500
    clock.advance(1_000)
    log.reads = 0
    assert len(make_partition(log).read_history(b"key", since_ms)) == 1
    assert log.reads > 3


def test_expired_records_in_the_requested_range_are_an_error(log, clock):
    writer = make_partition(log)
    start_ms = clock.wall()
    for nonce in range(10):
        writer.append(make_claim(bytes([nonce])))
        clock.advance(1_000)
    log.oldest = 5
    reader = make_partition(log)
    with pytest.raises(HistoryExpired):
        reader.read_history(b"key", start_ms + 4_000)
    assert len(reader.read_history(b"key", start_ms + 5_500)) == 5


def test_expiry_of_all_records_is_an_error(log, clock):
    offset = make_partition(log).append(make_claim())
    log.oldest = offset + 1
    with pytest.raises(HistoryExpired):
        make_partition(log).read_history(b"key", clock.wall(), offset)


def test_cache_is_dropped_where_retention_has_passed_it(log, clock):
    partition = make_partition(log)
    partition.read_history(b"key", 0, partition.append(make_claim()))
    for _ in range(200):
        log.add("claims-0", [b""])
    log.oldest = 150
    with pytest.raises(HistoryExpired):
        partition.read_history(b"key", clock.wall())


def test_idle_stream_gets_a_heartbeat(log, clock):
    counters = Counters()
    partition = make_partition(log)
    append_heartbeat_if_idle(partition, clock.wall(), counters)
    assert "claims-0" not in log.records_by_stream
    partition.append(make_claim())
    append_heartbeat_if_idle(partition, clock.wall(), counters)
    assert len(log.records_by_stream["claims-0"]) == 1
    clock.advance(IDLE_THRESHOLD_MS)
    append_heartbeat_if_idle(partition, clock.wall(), counters)
    log.oldest = 2
    append_heartbeat_if_idle(make_partition(log), clock.wall(), counters)
    assert len(log.records_by_stream["claims-0"]) == 3
    assert counters.by_name["orders.marks"] == 2


@pytest.mark.parametrize("error", [-5_000, 5_000], ids=["behind", "ahead"])
def test_wrong_wall_clock_delays_a_heartbeat_by_its_error_at_most(log, clock, error):
    def check():
        append_heartbeat_if_idle(partition, clock.wall() + error, Counters())
        return len(log.records_by_stream["claims-0"])

    partition = make_partition(log)
    partition.append(make_claim())
    clock.advance(IDLE_THRESHOLD_MS - abs(error) - 1)
    assert check() == 1
    clock.advance(2 * abs(error) + 1)
    assert check() == 2
    assert check() == 2


def test_unreadable_record_is_skipped(log):
    log.add("claims-0", [b"\xc1", b"nonsense"])
    partition = make_partition(log)
    assert len(partition.read_history(b"key", 0, partition.append(make_claim()))) == 1
    assert partition.append(Heartbeat()) == 3
