"""A router that stood still or was cut off hears late which upstreams have left.

The routers are processes of their own; the upstreams go on serving when they have left.
"""

import signal
import time
from itertools import count

import pytest

from mulberryhub.adapter_standins.documents import LEAVING_HEADER, make_config, route
from mulberryhub.adapter_standins.fleet import (
    PlatformFleet,
    RouterProcess,
    wait_until,
)
from tests.adapter.raw_workers import RawWorker
from tests.adapter.store_link import StoreLink

ROUTERS = 3
CONTACT_TIME_S = 3.0  # after which a router that stood still or was cut off is judged
LEAVE_TIME_S = 2.0  # in which an upstream that has left gets its last request
OBSERVED_TIME_S = 2.0
REQUEST_INTERVAL_S = 0.03
RELISTING_TIME_S = 1.8  # after the store's return, in which live upstreams are listed
STAYING_IDS = ("u-stay1", "u-stay2")
LEAVING_IDS = ("u-removed", "u-draining", "u-announced")
IDS = count()


class LeavingUpstreams:
    """Routers, each before a link to the store, and upstreams of which three leave."""

    def __init__(self, folder, routers):
        self.fleet = PlatformFleet(folder, routers=0)
        self.links = []
        self._folder = folder
        for _ in range(routers):
            self.start_router()
        self.leaving_ids = set()
        self.upstreams_by_id = {
            id: RawWorker(self.fleet, id, "leaving", self.respond)
            for id in (*STAYING_IDS, *LEAVING_IDS)
        }
        routes = [route("read", "/r/", "idempotent", "leaving", maxAttempts=2)]
        self.fleet.configure(make_config(routes=routes, services=[{"name": "leaving"}]))
        for router in self.fleet.routers:
            wait_until(lambda router=router: self.has_used_all(router))

    def start_router(self):
        """Start the next router behind a link of its own and return it."""
        index = len(self.fleet.routers)
        link = StoreLink(self.fleet.store.address)
        router = RouterProcess(f"r{index}", "ab"[index % 2], link.address, self._folder)
        self.links.append(link)
        self.fleet.routers.append(router)
        return router

    def respond(self, conn, id, worker):
        lines = b"Content-Length: 2\r\n\r\nok"
        if worker.id in self.leaving_ids:
            lines = LEAVING_HEADER.encode() + b": 1\r\n" + lines
        conn.sendall(worker.head(id) + lines)
        return True

    def has_used_all(self, router):
        """Send a request; return whether `router` has sent some to all upstreams."""
        self.ask(router)
        return all(
            any(id.startswith(router.name) for id in upstream.runs)
            for upstream in self.upstreams_by_id.values()
        )

    def ask(self, router):
        return router.ask("/r/x", "GET", id=f"{router.name}-{next(IDS)}").status

    def ask_until(self, end, routers):
        """Send requests until the monotonic time `end` in s; return the statuses."""
        statuses = []
        while time.monotonic() < end:
            statuses += [self.ask(router) for router in routers]
            time.sleep(REQUEST_INTERVAL_S)
        return statuses

    def leave(self, told_router=None):
        """Let three upstreams leave; return the monotonic time in s.

        One is removed from the store, one is listed as draining, and one tells it in an
        answer to `told_router`.
        """
        self.upstreams_by_id["u-removed"].deregister()
        self.upstreams_by_id["u-draining"].write_again(state="draining")
        if told_router is not None:
            self.leaving_ids.add("u-announced")
            announced = self.upstreams_by_id["u-announced"]
            before = len(announced.runs)
            wait_until(lambda: self.ask(told_router) and len(announced.runs) > before)
        return time.monotonic()

    def runs_at(self, ids):
        return sum(len(self.upstreams_by_id[id].runs) for id in ids)

    def check_not_used(self, routers, ids, since):
        """Check that `routers` serve, and use none of `ids` later than `since`."""
        self.ask_until(since, routers)
        before = self.runs_at(ids)
        statuses = self.ask_until(since + OBSERVED_TIME_S, routers)
        assert set(statuses) == {200}
        assert self.runs_at(ids) == before

    def freeze(self, routers):
        for router in routers:
            router.popen.send_signal(signal.SIGSTOP)

    def thaw(self, routers):
        for router in routers:
            router.popen.send_signal(signal.SIGCONT)

    def close(self):
        self.thaw(self.fleet.routers)
        for upstream in self.upstreams_by_id.values():
            upstream.end()
        self.fleet.close()
        for link in self.links:
            link.close()


@pytest.fixture
def start(tmp_path):
    platforms = []

    def start(routers=ROUTERS):
        platforms.append(LeavingUpstreams(tmp_path, routers))
        return platforms[0]

    yield start
    for platform in platforms:
        platform.close()


@pytest.mark.parametrize("index, duration", [(0, 1), (0, 5), (1, 5), (2, 5)])
def test_frozen_router_does_not_use_upstreams_that_left_meanwhile(
    start, index, duration
):
    platform = start()
    frozen = platform.fleet.routers[index]
    platform.freeze([frozen])
    left_at = platform.leave(platform.fleet.routers[index - 1])
    time.sleep(duration)
    platform.thaw([frozen])
    since = max(left_at + LEAVE_TIME_S, time.monotonic() + CONTACT_TIME_S)
    platform.check_not_used([frozen], LEAVING_IDS, since)


@pytest.mark.parametrize("duration", [1, 5])
def test_routers_frozen_all_at_once_do_not_use_upstreams_that_left_meanwhile(
    start, duration
):
    platform = start()
    platform.freeze(platform.fleet.routers)
    left_at = platform.leave()
    time.sleep(duration)
    platform.thaw(platform.fleet.routers)
    since = max(left_at + LEAVE_TIME_S, time.monotonic() + CONTACT_TIME_S)
    platform.check_not_used(platform.fleet.routers, LEAVING_IDS[:2], since)


# The others tell it, so that it hears in time even before the link heals.
@pytest.mark.parametrize("index", range(ROUTERS))
def test_router_cut_off_from_the_store_does_not_use_upstreams_that_left(start, index):
    platform = start()
    platform.links[index].cut()
    time.sleep(CONTACT_TIME_S)
    left_at = platform.leave(platform.fleet.routers[index - 1])
    routers = [platform.fleet.routers[index]]
    platform.check_not_used(routers, LEAVING_IDS, left_at + CONTACT_TIME_S)
    platform.links[index].heal()
    platform.check_not_used(routers, LEAVING_IDS, time.monotonic())


# Without others, the router can't tell its own cut from an outage of the store.
@pytest.mark.parametrize("duration", [1, 5])
def test_router_cut_off_from_all_does_not_use_upstreams_that_left_meanwhile(
    start, duration
):
    platform = start(1)
    platform.links[0].cut()
    left_at = platform.leave()
    platform.ask_until(left_at + duration, platform.fleet.routers)
    platform.links[0].heal()
    since = max(left_at + LEAVE_TIME_S, time.monotonic() + CONTACT_TIME_S)
    platform.check_not_used(platform.fleet.routers, LEAVING_IDS[:2], since)


# Entries expire while the store is away, and are written again soon after its return.
@pytest.mark.parametrize("routers", [1, ROUTERS])
def test_frozen_router_uses_upstreams_whose_entries_expired_in_an_outage(
    start, routers
):
    platform = start(routers)
    frozen = platform.fleet.routers[0]
    platform.freeze([frozen])
    for link in platform.links:
        link.cut()
    time.sleep(3)
    for upstream in platform.upstreams_by_id.values():
        upstream.deregister()
    for link in platform.links:
        link.heal()
    returned_at = time.monotonic()
    platform.thaw([frozen])
    statuses = platform.ask_until(returned_at + RELISTING_TIME_S, [frozen])
    for upstream in platform.upstreams_by_id.values():
        upstream.write_again()
    end = returned_at + RELISTING_TIME_S + OBSERVED_TIME_S
    statuses += platform.ask_until(end, [frozen])
    assert set(statuses) == {200}
