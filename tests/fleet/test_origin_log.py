"""Guards against readers of the log of streams that keep each other from reading."""

from mulberryhub.base.clock import Clock
from mulberryhub.base.green import Timeout, sleep, spawn
from mulberryhub.fleet.origin_log import OriginLog

READ_TIME_S = 0.3
SEARCH_TIMEOUT_S = 0.65  # more than two reads
SEARCH_INTERVAL_S = 0.1
SEARCH_COUNT = 25


class EmptyPage:
    records = []
    end = 0


class SlowClient:
    def __init__(self):
        self.read_count = 0

    def read(self, position):
        sleep(READ_TIME_S)
        self.read_count += 1
        return EmptyPage


def test_searches_that_come_all_the_time_are_answered_though_reads_are_slow():
    client = SlowClient()
    log = OriginLog(client, lambda: None, Clock())
    done = []

    def search():
        with Timeout(SEARCH_TIMEOUT_S, False):
            log.read_new()
            done.append(True)

    for _ in range(SEARCH_COUNT):
        spawn(search)
        sleep(SEARCH_INTERVAL_S)
    sleep(SEARCH_TIMEOUT_S)
    assert len(done) == SEARCH_COUNT
    assert client.read_count <= SEARCH_COUNT * SEARCH_INTERVAL_S / READ_TIME_S + 3


def test_read_goes_on_though_its_caller_gives_up():
    client = SlowClient()
    log = OriginLog(client, lambda: None, Clock())
    with Timeout(READ_TIME_S / 3, False):
        log.read_new()
    sleep(READ_TIME_S)
    assert client.read_count == 1
