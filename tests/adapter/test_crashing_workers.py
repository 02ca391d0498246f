"""The stand-in of crashing workers: what it lists in the store."""

from mulberryhub.adapter_standins.fleet import wait_until
from tests.adapter.crashing_workers import CrashingService

WORKERS = 4


class FakeStore:
    def __init__(self):
        self.listed_paths = set()
        self.removal_count = 0

    def request(self, method, path, body):
        if body:
            self.listed_paths.add(path)
            return
        self.listed_paths.discard(path)
        self.removal_count += 1


class FakePlatform:
    def __init__(self):
        self.store = FakeStore()


def start_service(platform):
    fields = {"deregisters": True, "deregister_delay": 0.2, "restart_delay": 0.4}
    return CrashingService(platform, "s", WORKERS, **fields)


def test_late_removal_of_crashed_workers_unlists_none_of_a_later_service():
    platform = FakePlatform()
    earlier = start_service(platform)
    earlier.crash_all()
    earlier.close()
    later = start_service(platform)
    try:
        wait_until(lambda: platform.store.removal_count == WORKERS)
        assert len(platform.store.listed_paths) == WORKERS
    finally:
        later.close()
