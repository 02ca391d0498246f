"""Starts a router and stops it gracefully."""

from random import uniform

from mulberryhub.base.green import sleep
from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_service
from mulberryhub.fleet.state import Topic
from mulberryhub.fleet.store import StoreUnavailable, era_of

MEMBERS_TIMEOUT_MS = 500  # for the list of members, before this router registers
MEMBERS_POLL_INTERVAL_MS = 20
REGISTRATION_RETRY_DELAY_MS = 500
# The first check gives routers that read the store time to tell which records it has.
REGISTRATION_CHECK_INTERVAL_MS = 1_000
MAX_REGISTRATION_DELAY_MS = 500  # spreads the writes of routers that were all lost
EXPIRY_CHECK_INTERVAL_MS = 1_000  # for expired connections and suspects
LISTEN_AFTER_STOP_MS = 2_600  # in which the platform stops sending connections
REQUEST_STOP_SHARE = 0.9  # of `stop_time`, in which running requests must end
FINAL_ANSWER_SHARE = 0.95  # of `stop_time`, in which those that did not are answered

log = module_logger(__name__)


class Router:
    """A router made of `parts`, a complete RouterParts."""

    __slots__ = ("_settings", "_parts", "_clock", "_is_stopping")

    def __init__(self, settings, parts, clock):
        self._settings = settings
        self._parts = parts
        self._clock = clock
        self._is_stopping = False

    def is_ready(self):
        """Return whether this router accepts new connections.

        It does once it has a configuration, until it is asked to stop.
        """
        return not self._is_stopping and self._parts.forwarder.view() is not None

    def start(self):
        """Start all parts."""
        parts = self._parts
        log.info("starting", router=self._settings.name)
        parts.publisher.start()
        parts.readiness_server.start()
        if parts.metrics_server is not None:
            parts.metrics_server.start()
        for follower in parts.followers:
            follower.start()
        parts.source_selector.start()
        parts.coordinator_share.start()
        parts.router_counts.start()
        parts.demand_estimate.start()
        parts.removals.start()
        parts.stream_origins.start()
        spawn_service(self._run_registration)
        spawn_service(self._run_expiry)
        parts.front_server.start()
        parts.cache_watcher.start()
        parts.rollout_manager.start()
        parts.naming_times_saver.start()
        parts.suspect_saver.start()
        parts.admission_saver.start()
        parts.release_controller.start()
        log.info("started", router=self._settings.name)

    def stop(self):
        """Drain client connections; return when all requests were answered.

        Requests that last too long are ended, which leaves time to answer them. The
        router is not ready from now on, but keeps listening for a while, until the
        platform sends no new connections.
        """
        started_at = self._clock.now()
        stop_time = self._settings.bounds.stop_time
        deadline = started_at + int(stop_time * REQUEST_STOP_SHARE)
        log.info(
            "stopping",
            router=self._settings.name,
            busy=self._parts.front_server.active_request_count,
        )
        self._is_stopping = True
        self._parts.remaining_time.begin_stop(deadline)
        front_server = self._parts.front_server
        front_server.drain()
        self._sleep_until(min(started_at + LISTEN_AFTER_STOP_MS, deadline))
        front_server.stop_listening()
        front_server.close_idle()
        front_server.wait_until_idle(deadline)
        ended_count = front_server.active_request_count
        front_server.end_running()
        front_server.wait_until_idle(started_at + int(stop_time * FINAL_ANSWER_SHARE))
        log.info(
            "stopped",
            router=self._settings.name,
            ended=ended_count,
            busy=front_server.active_request_count,
            took_ms=self._clock.now() - started_at,
        )

    def _sleep_until(self, deadline):
        sleep(max(0, deadline - self._clock.now()) / 1000)

    def _register(self):
        self._wait_for_members()
        if not self._is_registered():
            self._put_registration()

    def _put_registration(self):
        while True:
            try:
                self._parts.store.put_member(self._parts.local_member)
            except StoreUnavailable as error:
                log.warning("not registered yet", reason=str(error))
                sleep(REGISTRATION_RETRY_DELAY_MS / 1000)
            else:
                log.info("registered", address=self._parts.local_member.address)
                return

    def _wait_for_members(self):
        """Wait for the list of members, which may contain this router already."""
        deadline = self._clock.now() + MEMBERS_TIMEOUT_MS
        fleet_state = self._parts.fleet_state
        while fleet_state.age(Topic.MEMBERS) is None and self._clock.now() < deadline:
            sleep(MEMBERS_POLL_INTERVAL_MS / 1000)

    def _is_registered(self):
        local_member = self._parts.local_member
        known = self._parts.fleet_state.members_by_name.get(local_member.name)
        return known is not None and known.is_same(local_member)

    def _is_registration_lost(self):
        """Return whether the store came back from a copy without this router."""
        fleet_state = self._parts.fleet_state
        known = fleet_state.members_by_name.get(self._parts.local_member.name)
        position = fleet_state.position_by_topic[Topic.MEMBERS]
        return known is not None and era_of(known.offset) < era_of(position)

    def _run_registration(self):
        """Register, and again each time that the store loses the registration."""
        self._register()
        while True:
            sleep(REGISTRATION_CHECK_INTERVAL_MS / 1000)
            if not self._is_registration_lost():
                continue
            sleep(uniform(0, MAX_REGISTRATION_DELAY_MS) / 1000)
            if self._is_registration_lost():
                self._put_registration()

    def _run_expiry(self):
        while True:
            sleep(EXPIRY_CHECK_INTERVAL_MS / 1000)
            self._parts.connection_pool.close_expired()
            self._parts.fleet_state.drop_expired_suspects()


class RouterParts:
    """The parts of a router.

    `local_member` is the Member of this router. `metrics_server` is None if metrics are
    not served. The composition root sets all attributes.
    """

    __slots__ = (
        "local_member",
        "fleet_state",
        "store",
        "publisher",
        "source_selector",
        "coordinator_share",
        "router_counts",
        "speeds",
        "demand_estimate",
        "coordinate",
        "followers",
        "removals",
        "stream_origins",
        "rollout_manager",
        "naming_times_saver",
        "suspect_saver",
        "admission_saver",
        "release_controller",
        "cache_watcher",
        "forwarder",
        "remaining_time",
        "front_server",
        "readiness_server",
        "metrics_server",
        "connection_pool",
    )
