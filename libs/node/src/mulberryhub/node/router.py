"""Start and graceful stop of a router on a platform."""

import msgspec

from mulberryhub.base.green import sleep
from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_task
from mulberryhub.fleet.state import Topic
from mulberryhub.fleet.store import StoreUnavailable

MEMBERS_TIME = 500  # ms to wait for the list of members before this one is written
MEMBERS_TICK = 20  # ms
REGISTER_PAUSE = 500  # ms between attempts to register
EXPIRY_PAUSE = 1_000  # ms between looks for what is no longer of use
LEAVE_TIME = 2_600  # ms in which the platform stops to send new connections
STOP_SHARE = 0.9  # of the time to stop that running requests may take

log = module_logger(__name__)


class Router:
    """A wired router; `parts` is a RouterParts, made by the composition root."""

    __slots__ = ("_settings", "_parts", "_clock", "stopping")

    def __init__(self, settings, parts, clock):
        self._settings = settings
        self._parts = parts
        self._clock = clock
        self.stopping = False

    def is_ready(self):
        """Tell whether new connections are welcome."""
        return not self.stopping and self._parts.forwarder.view() is not None

    def start(self):
        """Start all parts."""
        parts = self._parts
        log.info("starting", router=self._settings.name)
        parts.publisher.start()
        parts.readiness.start()
        if parts.metrics is not None:
            parts.metrics.start()
        for follower in parts.followers:
            follower.start()
        parts.source_selector.start()
        parts.removals.start()
        spawn_task(self._register)
        spawn_task(self._expire)
        parts.front.start()
        parts.cache_watcher.start()
        parts.manager.start()
        log.info("started", router=self._settings.name)

    def stop(self):
        """Let clients leave and running requests end; return when that is done."""
        began = self._clock.now()
        end = began + int(self._settings.bounds.stop_time * STOP_SHARE)
        log.info(
            "stopping",
            router=self._settings.name,
            busy=self._parts.front.active_request_count,
        )
        self.stopping = True
        front = self._parts.front
        front.drain()
        self._sleep_until(min(began + LEAVE_TIME, end))
        front.stop_listening()
        front.close_idle()
        front.wait_until_idle(end)
        log.info(
            "stopped",
            router=self._settings.name,
            busy=front.active_request_count,
            took_ms=self._clock.now() - began,
        )

    def _sleep_until(self, time):
        sleep(max(0, time - self._clock.now()) / 1000)

    def _register(self):
        self._wait_for_members()
        if self._is_registered():
            return
        while True:
            try:
                self._parts.store.put_member(self._parts.me)
            except StoreUnavailable as error:
                log.warning("not registered yet", reason=str(error))
                sleep(REGISTER_PAUSE / 1000)
            else:
                log.info("registered", address=self._parts.me.address)
                return

    def _wait_for_members(self):
        """Wait until the members are known, which may have this router already."""
        end = self._clock.now() + MEMBERS_TIME
        fleet_state = self._parts.fleet_state
        while fleet_state.age(Topic.MEMBERS) is None and self._clock.now() < end:
            sleep(MEMBERS_TICK / 1000)

    def _is_registered(self):
        me = self._parts.me
        known = self._parts.fleet_state.members_by_name.get(me.name)
        return known is not None and msgspec.structs.replace(known, offset=0) == me

    def _expire(self):
        while True:
            sleep(EXPIRY_PAUSE / 1000)
            self._parts.pool.close_expired()
            self._parts.fleet_state.drop_expired_suspects()


class RouterParts:
    """The parts that a router starts and stops."""

    __slots__ = (
        "me",
        "fleet_state",
        "store",
        "publisher",
        "source_selector",
        "followers",
        "removals",
        "manager",
        "cache_watcher",
        "forwarder",
        "front",
        "readiness",
        "metrics",
        "pool",
    )
