"""Records of removed routers neither hide living ones nor cost much."""

import pytest

from benchmarks.ports import free_address
from mulberryhub.base.clock import Clock, ManualClock
from mulberryhub.base.green import Timeout, sleep
from mulberryhub.fleet.channel import PermitGrant, QuotaGrant, QuotaRequest
from mulberryhub.fleet.probes import MAX_PROBE_COUNT, Probe
from mulberryhub.fleet.records import Member
from mulberryhub.fleet.sources import SourceSelector
from mulberryhub.fleet.state import FleetState, Topic
from mulberryhub.http.sockets import close, open_listener
from tests.fleet.test_exchange import Node

STEP_MS = 100
CONNECT_TIMEOUT_MS = 300
SILENCE_MS = 1_000  # after which a followed router counts as lost
FLEET_DATA_CENTRES = ("a", "b", "c")


class Connection:
    """A subscription or probe; an answer takes one step."""

    def __init__(self, model, member, wants_records=None):
        self.model = model
        self.member = member
        self.wants_records = wants_records
        self.opened_at = self.heard_at = model.clock.now()
        self.ended = False
        self.coordinator = ""
        self.is_publisher_current = False

    @property
    def is_probe(self):
        return self.wants_records is None

    def start(self):
        self.model.connections.append(self)

    def close(self):
        self.ended = True

    def update(self):
        now = self.model.clock.now()
        if self.member.name in self.model.living:
            self.heard_at = now
            self.coordinator = self.member.name
            self.is_publisher_current = self.member.name in self.model.current
        elif now - self.heard_at >= (
            SILENCE_MS if self.coordinator else CONNECT_TIMEOUT_MS
        ):
            self.ended = True


class RouterModel:
    """The router `local`; of the other members, those named in `living` answer."""

    def __init__(self, local, members, living):
        self.clock = ManualClock(now=10_000)
        self.living = set(living)
        self.current = set(living)
        self.reads_fail = False
        self.connections = []
        self.opened = []
        self.fleet_state = FleetState(self.clock)
        self.source_selector = SourceSelector(
            local,
            [],
            self.fleet_state,
            lambda member, wants_records: self.open(member, wants_records),
            lambda: self.reads_fail,
            self.clock,
            lambda member: self.open(member, None),
        )
        for member in [*members, local]:
            self.fleet_state.apply(member)
        self.mark_current()

    def open(self, member, wants_records):
        self.opened.append((self.clock.now(), member.name, wants_records))
        return Connection(self, member, wants_records)

    def mark_current(self):
        for topic in (Topic.OPERATOR, Topic.UPSTREAMS):
            self.fleet_state.mark_read_up_to(topic, 1, self.clock.now())

    def run(self, duration, is_current=True):
        for _ in range(duration // STEP_MS):
            self.clock.advance(STEP_MS)
            if is_current:
                self.mark_current()
            for connection in self.connections:
                connection.update()
            self.source_selector.step()
            self.connections = [item for item in self.connections if not item.ended]

    def time_until(self, condition, limit=120_000):
        start = self.clock.now()
        while not condition():
            assert self.clock.now() - start < limit
            self.run(STEP_MS)
        return self.clock.now() - start

    def followed(self, wants_records=True):
        """Return the names of the routers that are followed and answer."""
        return [
            item.member.name
            for item in self.connections
            if item.wants_records is wants_records and item.coordinator
        ]

    def open_probes(self):
        return [item for item in self.connections if item.is_probe]


def removed_members(count, data_centre="a", strength=0):
    return [
        Member(f"r{n:03}{data_centre}", f"r{n}:1", data_centre, n, strength)
        for n in range(count)
    ]


LIVING = Member("z0", "z0:1", "a", 1_000)
LOCAL = Member("z1", "z1:1", "a", 1_001)


# What a router that starts takes to find the one that lives.
@pytest.mark.parametrize("count, limit", [(0, 500), (6, 3_000), (60, 6_000)])
def test_started_router_finds_the_living_one(count, limit):
    model = RouterModel(LOCAL, [*removed_members(count), LIVING], {"z0"})
    assert model.time_until(lambda: model.followed() == ["z0"]) <= limit
    model.run(60_000)
    assert model.followed() == ["z0"]


def test_started_router_finds_the_living_one_among_many():
    model = RouterModel(LOCAL, [*removed_members(600), LIVING], {"z0"})
    assert model.time_until(lambda: model.followed() == ["z0"]) <= 30_000


@pytest.mark.parametrize("count", [1, 6, 60])
def test_only_router_that_lives_leads(count):
    model = RouterModel(LOCAL, removed_members(count), ())
    model.run(30_000)
    for _ in range(600):
        model.run(STEP_MS)
        assert model.source_selector.is_leader()
        assert model.source_selector.coordinator() == LOCAL
        assert model.source_selector.should_read()


@pytest.mark.parametrize("count", [0, 6, 60])
def test_router_leads_once_the_living_one_is_unreachable_and_follows_its_return(count):
    model = RouterModel(LOCAL, [*removed_members(count), LIVING], {"z0"})
    model.time_until(lambda: model.followed() == ["z0"])
    model.run(60_000)
    model.living.clear()
    assert model.time_until(model.source_selector.is_leader) <= SILENCE_MS + 200
    model.run(60_000)
    assert model.source_selector.is_leader()
    model.living.add("z0")
    assert model.time_until(lambda: model.followed() == ["z0"]) <= 17_000


@pytest.mark.parametrize("count", [6, 60])
def test_brief_loss_of_the_living_one_is_noticed_soon(count):
    model = RouterModel(LOCAL, [*removed_members(count), LIVING], {"z0"})
    model.time_until(lambda: model.followed() == ["z0"])
    model.run(60_000)
    model.living.clear()
    model.run(2_000)
    model.living.add("z0")
    assert model.time_until(lambda: model.followed() == ["z0"]) <= 2_500


def test_router_that_starts_again_is_followed_at_once():
    members = removed_members(60)
    model = RouterModel(LOCAL, members, ())
    model.run(60_000)
    started = Member("r000a", "r0:2", "a", 2_000)
    model.living.add("r000a")
    model.fleet_state.apply(started)
    assert model.time_until(lambda: model.followed() == ["r000a"]) <= 300


def test_stronger_router_that_returns_without_a_new_record_is_followed():
    model = RouterModel(LOCAL, [*removed_members(60), LIVING], {"z0"})
    model.run(60_000)
    model.living.add("r030a")
    assert model.time_until(lambda: model.followed() == ["r030a"]) <= 17_000


@pytest.mark.parametrize("count", [6, 60])
def test_leader_finds_the_living_leader_of_another_data_centre(count):
    strongest = removed_members(count, "b", strength=9)
    remote = Member("z9", "z9:1", "b", 1_000, 8)
    model = RouterModel(LOCAL, [*strongest, remote], {"z9"})
    assert model.time_until(lambda: model.followed(False) == ["z9"]) <= 6_000
    model.run(30_000)
    for _ in range(600):
        model.run(STEP_MS)
        assert model.followed(False) == ["z9"]
        assert model.source_selector.coordinator() == remote


def test_routers_that_answer_are_not_probed():
    members = [
        Member(f"{name}{n}", f"{name}{n}:1", name, n)
        for name in FLEET_DATA_CENTRES
        for n in range(50)
    ]
    local = Member("a9", "a9:1", "a", 9)
    model = RouterModel(local, members, {member.name for member in members})
    model.run(60_000)
    assert [name for _, name, _ in model.opened] == ["a0"]


def test_lost_leader_does_not_make_all_others_be_probed():
    members = [Member(f"a{n:03}", f"a{n}:1", "a", n) for n in range(100)]
    local = Member("a200", "a200:1", "a", 200)
    model = RouterModel(local, members, {member.name for member in members})
    model.run(5_000)
    model.living.remove("a000")
    model.run(60_000)
    assert model.followed() == ["a001"]
    assert {name for _, name, _ in model.opened} == {"a000", "a001"}


@pytest.mark.parametrize("count", [60, 600])
def test_attempts_to_reach_removed_routers_are_limited(count):
    model = RouterModel(LOCAL, [*removed_members(count), LIVING], {"z0"})
    most_probes = 0
    for _ in range(600):
        model.run(STEP_MS)
        most_probes = max(most_probes, len(model.open_probes()))
    assert most_probes <= MAX_PROBE_COUNT
    opened_before = len(model.opened)
    model.run(60_000)
    assert (len(model.opened) - opened_before) / 60 <= 8


def test_router_without_store_takes_a_leader_with_current_data_first():
    remote = Member("z9", "z9:1", "b", 1_000, -1)
    others = [Member(f"z9{n}", f"z9{n}:1", "b", n, -1) for n in range(30)]
    local = Member("a0", "a0:1", "a", 1)
    living = {"z9", *[member.name for member in others]}
    model = RouterModel(local, [*removed_members(60), remote, *others], living)
    model.current = {"z9"}
    model.run(60_000)
    model.reads_fail = True
    model.run(300)
    assert model.followed() == ["z9"]


def test_router_without_store_tries_removed_routers_last():
    others = [Member(f"y{n}", f"y{n}:1", "b", n) for n in range(5)]
    living = {member.name for member in others}
    model = RouterModel(LOCAL, [*removed_members(20), *others], living)
    model.current = set()
    model.run(20_000)
    model.reads_fail = True
    model.opened.clear()
    model.run(10_000, is_current=False)
    sources = [name for _, name, wants_records in model.opened if wants_records]
    assert set(sources[:5]) == living


@pytest.fixture
def router():
    node = Node("n1")
    yield node
    node.publisher.stop()


def run_probe(address):
    probe = Probe(Member("n1", address, "d"), Clock())
    probe.start()
    with Timeout(3):
        while not probe.ended:
            sleep(0.01)
    return probe


def test_probe_tells_that_a_router_answers(router):
    router.publisher._coordinate = lambda request: QuotaGrant(request.number, None)
    assert run_probe(router.member.address).coordinator == "n1"
    assert router.usage_table.sum_local().routers == 1


def test_probe_changes_nothing_at_the_router(router):
    requests = []

    def coordinate(request):
        requests.append(request)
        return QuotaGrant(request.number, None)

    router.publisher._coordinate = coordinate
    run_probe(router.member.address)
    assert requests == [QuotaRequest(0, "", 0)]


def test_router_that_does_not_answer_is_not_taken_for_living():
    address = free_address()
    listener = open_listener(address)
    try:
        assert run_probe(address).coordinator == ""
    finally:
        close(listener)


def test_address_without_a_router_is_not_taken_for_living():
    assert run_probe(free_address()).coordinator == ""


def test_other_answers_are_not_taken_for_living(router):
    router.publisher._coordinate = lambda request: PermitGrant(request.number, 0, 0)
    assert run_probe(router.member.address).coordinator == ""
