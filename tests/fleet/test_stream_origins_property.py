"""Guards against an origin other than the true one, under kills, cuts and outages."""

from hypothesis import settings
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)
from hypothesis.strategies import booleans, integers, sampled_from

from mulberryhub.fleet.software_versions import SERVING_AFTER_REMOVAL_MS
from mulberryhub.fleet.stream_lifetime import STREAM_LIFETIME_MS
from tests.support.origin_routers import OriginWorld

ROUTERS = range(3)
IDS = ["u1", "u2", "u3"]
VERSIONS = ["v1", "v2", None]
READ_INTERVALS_MS = [300, 1_000, 1_200]
TICK_MS = 100


class BegunStream:
    """A stream that an upstream of `version` began at `at` (ms)."""

    def __init__(self, version, at):
        self.version = version
        self.at = at


class Routers(RuleBasedStateMachine):
    """Routers that begin streams and take them up while everything changes."""

    attempts = Bundle("attempts")

    def __init__(self):
        super().__init__()
        self.world = OriginWorld(router_count=len(ROUTERS))
        for router, interval in zip(self.world.routers, READ_INTERVALS_MS):
            router.read_interval = interval
        self.streams = {}
        self.stops_serving_by_incarnation = {}

    @initialize(version=sampled_from(VERSIONS))
    def first_version_serves(self, version):
        self.world.set_upstream("u1", version)
        self.world.run(3_000)

    @rule(id=sampled_from(IDS), version=sampled_from(VERSIONS))
    def upstream_starts(self, id, version):
        if not self.world.marks.is_unavailable:
            self._stop_serving(id)
            self.world.set_upstream(id, version)

    @rule(id=sampled_from(IDS))
    def upstream_leaves(self, id):
        if not self.world.marks.is_unavailable and id in self.world.upstreams_by_id:
            self._stop_serving(id)
            self.world.remove_upstream(id)

    @rule(
        ids=sampled_from([["u1"], ["u1", "u2", "u3"]]), version=sampled_from(VERSIONS)
    )
    def release(self, ids, version):
        for id in ids:
            self.upstream_leaves(id)
            self.upstream_starts(id, version)

    @rule(duration=sampled_from([100, 300, 1_000, 3_000, 10_000, 35_000]))
    def time_passes(self, duration):
        self.world.run(duration)

    @rule(duration=sampled_from([0, 1_000, 4_000, 20_000]))
    def all_routers_are_killed_and_restart(self, duration):
        self.world.kill_all()
        self.world.run(duration)
        for router in self.world.routers:
            router.is_cut = False
        self.world.start_all()

    @rule(number=sampled_from(ROUTERS))
    def router_restarts(self, number):
        self.world.routers[number].start()

    @rule(number=sampled_from(ROUTERS))
    def router_freezes_or_thaws(self, number):
        router = self.world.routers[number]
        router.is_running = not router.is_running

    @rule(number=sampled_from(ROUTERS), is_cut=booleans())
    def router_is_cut_off_or_not(self, number, is_cut):
        self.world.routers[number].is_cut = is_cut

    @rule(is_available=booleans())
    def store_goes_or_returns(self, is_available):
        self.world.set_store_available(is_available)

    @rule(is_late=booleans())
    def writes_of_marks_are_late(self, is_late):
        self.world.marks.is_late = is_late
        if not is_late and not self.world.marks.is_unavailable:
            self.world.marks.run_late()

    @rule()
    def history_expires(self):
        self.world.log.trim()

    @rule(duration=sampled_from([500, 1_500, 2_500]), choice=integers(0, 2))
    def streams_begin_and_are_taken_up_all_the_time(self, duration, choice):
        for _ in range(duration // TICK_MS):
            self.world.run(TICK_MS)
            for number in ROUTERS:
                self._begin(number, choice)
            self.all_streams_are_taken_up_everywhere()

    @rule(target=attempts, number=sampled_from(ROUTERS), choice=integers(0, 2))
    def stream_begins(self, number, choice):
        return self._begin(number, choice)

    def _begin(self, number, choice):
        attempt_id = f"a{len(self.streams)}"
        router = self.world.routers[number]
        serving = self._serving(router)
        if router.is_running and serving:
            version = serving[choice % len(serving)].software_version
            if router.may_begin(version):
                router.begin(attempt_id, version)
                now = self.world.clock.now()
                self.streams[attempt_id] = BegunStream(version, now)
        return attempt_id

    @rule(number=sampled_from(ROUTERS), attempt_id=attempts)
    def stream_is_taken_up(self, number, attempt_id):
        self._take_up(self.world.routers[number], attempt_id)

    @rule()
    def all_streams_are_taken_up_everywhere(self):
        for attempt_id in list(self.streams)[-4:]:
            for router in self.world.routers:
                self._take_up(router, attempt_id)

    def _take_up(self, router, attempt_id):
        stream = self.streams.get(attempt_id)
        if stream is None or not router.is_running:
            return
        if self.world.clock.now() - stream.at > STREAM_LIFETIME_MS:
            return
        found = router.find(attempt_id)
        if found == "any":
            for upstream in self._serving(router):
                assert upstream.software_version == stream.version
        elif found != "unknown":
            assert found == (stream.version,)

    def _stop_serving(self, id):
        upstream = self.world.upstreams_by_id.get(id)
        if upstream is not None:
            end = self.world.clock.now() + SERVING_AFTER_REMOVAL_MS
            self.stops_serving_by_incarnation[id, upstream.offset] = end

    def _serving(self, router):
        """Return the upstreams that a router knows and that still serve."""
        now = self.world.clock.now()
        return [
            upstream
            for upstream in router.fleet_state.upstreams_by_id.values()
            if self.stops_serving_by_incarnation.get(
                (upstream.id, upstream.offset), now
            )
            >= now
        ]

    @invariant()
    def marks_cover_versions_in_use(self):
        if self.world.marks.is_unavailable or self.world.marks.is_late:
            return
        marked = {version for _, version in self.world.marks.marks_by_key()}
        oldest = self.world.clock.now() - STREAM_LIFETIME_MS
        for stream in self.streams.values():
            assert stream.at < oldest or stream.version in marked


TestRouters = Routers.TestCase
TestRouters.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)
