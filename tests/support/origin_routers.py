"""Routers that share upstreams, marks and a log, for tests of stream origins."""

from mulberryhub.base.clock import ManualClock
from mulberryhub.external.log import LogUnavailable, OffsetExpired
from mulberryhub.fleet.records import Member, Removal, Upstream, UpstreamState
from mulberryhub.fleet.software_versions import (
    SERVING_AFTER_REMOVAL_MS,
    SETTLING_TIME_MS,
)
from mulberryhub.fleet.state import FleetState, Topic
from mulberryhub.fleet.store import HistoryLost, StoreUnavailable
from mulberryhub.fleet.stream_lifetime import STREAM_LIFETIME_MS
from mulberryhub.fleet.stream_origins import OriginUnknown, StreamOrigins
from tests.support.memory_marks import MemoryMarks
from tests.support.reverting_log import RevertingLog

SERVICE = "llm"
TICK_MS = 100
MAX_PAGE_RECORD_COUNT = 10_000
SETTLED_MS = SETTLING_TIME_MS + 1_500  # with the reading of all routers
ABSENCE_MS = STREAM_LIFETIME_MS + SERVING_AFTER_REMOVAL_MS


class MemoryRecords:
    """The records of streams in the log of `world`, as the adapter provides them."""

    def __init__(self, world):
        self.world = world

    def append(self, payloads):
        try:
            return self.world.log.append("streams", payloads)[0]
        except LogUnavailable as error:
            raise StoreUnavailable(str(error)) from error

    def read(self, position):
        try:
            page = self.world.log.read("streams", position, MAX_PAGE_RECORD_COUNT)
        except LogUnavailable as error:
            raise StoreUnavailable(str(error)) from error
        except OffsetExpired as error:
            raise HistoryLost(error.oldest) from error
        return MemoryPage(page)


class MemoryPage:
    def __init__(self, page):
        self.records = [record.payload for record in page.records]
        self.end = page.end


class OriginRouter:
    """A router that reads the upstreams of `world` every `read_interval` ms."""

    def __init__(self, world, name, read_interval=500):
        self.world = world
        self.name = name
        self.read_interval = read_interval
        self.is_running = False
        self.is_cut = False
        self.start()

    def start(self):
        clock = self.world.clock
        self.fleet_state = FleetState(clock)
        self.is_running = True
        self.next_record = None
        self.next_read_at = clock.now()
        self.origins = StreamOrigins(
            self.fleet_state,
            MemoryRecords(self.world),
            self.world.marks,
            lambda: self.world.coordinator is self,
            clock,
            pause=self.world.pause,
        )

    def tick(self):
        if not self.is_running:
            return
        if self.world.clock.now() >= self.next_read_at and not self.is_cut:
            self.read_upstreams()
        self.origins.follow_versions()
        self.origins.tell_streams()

    def read_upstreams(self):
        if self.world.marks.is_unavailable:
            return
        self.next_read_at = self.world.clock.now() + self.read_interval
        records = self.world.records
        news = (
            list(self.world.upstreams_by_id.values())
            if self.next_record is None
            else records[self.next_record :]
        )
        for record in [*self.world.members, *news]:
            self.fleet_state.apply(record)
        self.next_record = len(records)
        self.fleet_state.mark_read_up_to(
            Topic.UPSTREAMS, self.world.position, self.world.clock.now()
        )

    def versions_in_view(self):
        upstreams = self.fleet_state.upstreams_by_id.values()
        return {upstream.software_version for upstream in upstreams}

    def may_begin(self, version):
        return self.origins.may_begin(SERVICE, version)

    def begin(self, attempt_id, version):
        assert self.may_begin(version)
        self.origins.record_begun(SERVICE, attempt_id, version)

    def find(self, attempt_id):
        """Return "any", "unknown" or the version in a tuple."""
        try:
            origin = self.origins.find(SERVICE, attempt_id)
        except OriginUnknown:
            return "unknown"
        return "any" if origin.is_any else (origin.software_version,)


class OriginWorld:
    """Upstreams of one service, and `routers`, the first of which coordinates."""

    def __init__(self, router_count=2, member_count=None):
        self.clock = ManualClock(now=100_000)
        self.marks = MemoryMarks()
        self.log = RevertingLog()
        self.records = []
        self.upstreams_by_id = {}
        self.pauses = []
        self.members = [
            Member(f"r{number}", f"a{number}", "dc", number)
            for number in range(member_count or router_count)
        ]
        self.routers = []
        for number in range(router_count):
            self.routers.append(OriginRouter(self, f"r{number}"))

    @property
    def coordinator(self):
        running = [router for router in self.routers if router.is_running]
        return running[0] if running else None

    @property
    def position(self):
        return (self.marks.era << 38) + len(self.records)

    def set_upstream(self, id, version):
        upstream = Upstream(
            id=id,
            service=SERVICE,
            address=id,
            data_centre="dc",
            state=UpstreamState.READY,
            offset=self.position,
            software_version=version,
        )
        self.upstreams_by_id[id] = upstream
        self.records.append(upstream)

    def remove_upstream(self, id):
        del self.upstreams_by_id[id]
        self.records.append(Removal(id, self.position))

    def pause(self, seconds):
        self.pauses.append(seconds)
        self.run(round(seconds * 1_000))

    def run(self, duration):
        """Let `duration` ms pass in ticks."""
        end = self.clock.now() + duration
        while self.clock.now() < end:
            self.clock.advance(min(TICK_MS, end - self.clock.now()))
            for router in self.routers:
                router.tick()

    def kill_all(self):
        for router in self.routers:
            router.is_running = False

    def start_all(self):
        for router in self.routers:
            router.start()

    def set_store_available(self, is_available):
        self.marks.is_unavailable = not is_available
        self.log.is_unavailable = not is_available


def settled_world():
    """Return two routers that have served the version v1 for a while."""
    world = OriginWorld()
    world.set_upstream("u1", "v1")
    world.run(2_000)
    return world


def mixed_world():
    """Return two routers that serve the versions v1 and v2."""
    world = settled_world()
    world.set_upstream("u2", "v2")
    world.run(SETTLED_MS)
    return world
