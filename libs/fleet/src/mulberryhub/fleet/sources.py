"""Selects a router's data sources: the store itself, or other routers.

In each data centre, the strongest live member is the leader, and the others subscribe
to it. The two strongest leaders read the store, and the other leaders subscribe to the
first of them. A router with stale data of any topic needed to serve requests reads the
store itself, and continues while the router that it follows has no current data. If its
own reads fail too, it also subscribes to members anywhere as fallback sources, one at a
time. Members that do not answer are probed besides, so that they keep no router from
one that lives.
"""

from math import inf

from mulberryhub.base.green import sleep
from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_service
from mulberryhub.fleet.fallback import FallbackSource
from mulberryhub.fleet.leaders import Leaders
from mulberryhub.fleet.probes import Prober
from mulberryhub.fleet.reachability import Reachability
from mulberryhub.fleet.state import Topic

CHECK_INTERVAL_MS = 100
MAX_CURRENT_AGE_MS = 1_300  # up to which data counts as current
READER_COUNT = 2  # leaders that read the store on behalf of the others
DEPUTY_COUNT = 3  # members after the leader that read at once if data is stale
STAGGER_STEP_MS = 100  # extra delay of each further member before it reads
MAX_STAGGER_MS = 800
STARTUP_GRACE_MS = 400  # for the followed router to provide data after a start
NEEDED_TOPICS = (Topic.OPERATOR, Topic.UPSTREAMS)  # needed to serve requests

log = module_logger(__name__)


class SourceSelector:
    """Selects the routers to follow; `local_member` is this router's Member.

    `seeds` are Members to contact while no others are known, such as during a store
    outage at startup. `subscribe(member, wants_records)` returns a Subscription that is
    not started; `reads_fail()` returns whether this router's own reads of the store
    fail. `probe(member)` returns a Probe that is not started; by default, it is a
    subscription without records.
    """

    __slots__ = (
        "_local_member",
        "_fleet_state",
        "_seeds",
        "_subscribe",
        "_reads_fail",
        "_clock",
        "_leader_subscription",
        "_fallback",
        "_remote_subscriptions",
        "_reachability",
        "_leaders",
        "_prober",
        "_coordinator_name",
        "_was_reading",
        "_started_at",
    )

    def __init__(
        self, local_member, seeds, fleet_state, subscribe, reads_fail, clock, probe=None
    ):
        self._local_member = local_member
        self._seeds = [seed for seed in seeds if seed.address != local_member.address]
        self._fleet_state = fleet_state
        self._subscribe = subscribe
        self._reads_fail = reads_fail
        self._clock = clock
        self._leader_subscription = None
        self._reachability = Reachability(clock)
        self._leaders = Leaders(local_member, fleet_state, self._reachability)
        self._prober = Prober(
            probe or (lambda member: subscribe(member, False)),
            self._reachability,
            clock,
        )
        self._fallback = FallbackSource(
            lambda member: self._open(member, True),
            self.is_current,
            self._reachability,
            clock,
        )
        self._remote_subscriptions = {}
        self._coordinator_name = ""
        self._was_reading = None
        self._started_at = clock.now()

    def start(self):
        """Start selecting sources in the background."""
        spawn_service(self._run)

    def should_read(self):
        """Return whether this router should read the store itself."""
        reading = self._is_reader() or self._is_stale() or self._lacks_current_source()
        if reading != self._was_reading:
            self._was_reading = reading
            log.info(
                "reads the store",
                reading=reading,
                leader=self.is_leader(),
                reads_fail=self._reads_fail(),
                operator_age_ms=self._fleet_state.age(Topic.OPERATOR),
                upstreams_age_ms=self._fleet_state.age(Topic.UPSTREAMS),
            )
        return reading

    def should_read_members(self):
        """Return whether this router should read the members topic."""
        is_unknown = self._fleet_state.age(Topic.MEMBERS) is None
        return is_unknown or self._is_reader()

    def is_leader(self):
        """Return whether the other routers of the data centre follow this one."""
        leader = self._leaders.local()
        return leader is None or leader.name == self._local_member.name

    def reader_rank(self):
        """Return the rank of this router among the leaders that read the store.

        Return None if it is none of them.
        """
        if not self.is_leader():
            return None
        names = self._reader_names()
        name = self._local_member.name
        return names.index(name) if name in names else None

    def coordinator(self):
        """Return the Member that issues the permits of this router.

        It is the strongest leader that has sent updates. Only leaders know which of the
        others are live, so the other routers ask the coordinator of their leader, and
        the last one until a new leader names it.
        """
        if self.is_leader():
            self._coordinator_name = ""
            live = [leader for leader in self._leaders.all() if self._is_live(leader)]
            return live[0] if live else self._local_member
        subscription = self._leader_subscription
        if subscription is not None and subscription.coordinator:
            self._coordinator_name = subscription.coordinator
        known = self._fleet_state.members_by_name.get(self._coordinator_name)
        return self._local_member if known is None else known

    def _is_live(self, leader):
        """Return whether a leader is this router, or has sent updates to it."""
        if leader.name == self._local_member.name:
            return True
        subscription = self._remote_subscriptions.get(leader.data_centre)
        return (
            subscription is not None
            and subscription.member.is_same(leader)
            and bool(subscription.coordinator)
        )

    def is_current(self):
        """Return whether this router's data of the needed topics is fresh."""
        return self._staleness() <= MAX_CURRENT_AGE_MS

    def step(self):
        """Update all subscriptions once."""
        self._drop_ended_subscriptions()
        self._follow_leader()
        self._follow_fallback()
        self._follow_other_data_centres()
        self._prober.step(self._probe_candidates)

    def _run(self):
        while True:
            self.step()
            sleep(CHECK_INTERVAL_MS / 1000)

    def _is_reader(self):
        if not self.is_leader():
            return False
        names = self._reader_names()
        return self._local_member.name in names or len(names) < READER_COUNT

    def _reader_names(self):
        return [leader.name for leader in self._leaders.all()[:READER_COUNT]]

    def _staleness(self):
        """Return the age in ms of the oldest topic that requests depend on."""
        ages = [self._fleet_state.age(topic) for topic in NEEDED_TOPICS]
        return inf if None in ages else max(ages)

    def _is_stale(self):
        """Return whether data is stale enough for this router to read the store.

        Members of lower rank wait longer, so that not all read at the same time. A
        starting router first waits for the router that it follows.
        """
        staleness = self._staleness()
        if staleness == inf:
            waited = self._clock.now() - self._started_at
            return waited >= STARTUP_GRACE_MS or not self._is_following()
        behind = max(0, self._leaders.count_ahead() - DEPUTY_COUNT)
        return staleness > MAX_CURRENT_AGE_MS + min(
            behind * STAGGER_STEP_MS, MAX_STAGGER_MS
        )

    def _lacks_current_source(self):
        """Return whether the followed router has no current data for this one."""
        if self._leaders.count_ahead() > DEPUTY_COUNT:
            return False
        return (
            self._reads_fail()
            or not self._is_following()
            or not self._followed_subscription().is_publisher_current
        )

    def _followed_subscription(self):
        return (
            self._top_leader_subscription
            if self.is_leader()
            else self._leader_subscription
        )

    def _is_following(self):
        subscription = self._followed_subscription()
        return subscription is not None and not subscription.ended

    @property
    def _top_leader_subscription(self):
        """Return the subscription to the strongest leader, or None."""
        for subscription in self._remote_subscriptions.values():
            if subscription.wants_records:
                return subscription
        return None

    def _follow_leader(self):
        leader = self._leaders.local()
        if leader is not None and leader.name == self._local_member.name:
            leader = None
        if (
            self._leader_subscription is not None
            and not self._leader_subscription.member.is_same(leader)
        ):
            self._leader_subscription.close()
            self._leader_subscription = None
        if leader is not None and self._leader_subscription is None:
            self._leader_subscription = self._open(leader, True)

    def _follow_fallback(self):
        """Subscribe to fallback sources in turn while store reads fail."""
        if self._reads_fail():
            self._fallback.follow(self._fallback_candidates(), self._current_names())
        else:
            self._fallback.stop()

    def _fallback_candidates(self):
        followed = (self._leader_subscription, self._top_leader_subscription)
        followed_names = {item.member.name for item in followed if item is not None}
        known = self._fleet_state.members_by_name.values()
        others = [member for member in known if member.name != self._local_member.name]
        return [
            member
            for member in others or self._seeds
            if member.name not in followed_names
        ]

    def _current_names(self):
        """Return the names of the leaders that have current data themselves."""
        return {
            subscription.member.name
            for subscription in self._remote_subscriptions.values()
            if subscription.is_publisher_current
        }

    def _follow_other_data_centres(self):
        wanted_leaders = {}
        top_data_centre = None
        if self.is_leader():
            leaders = self._leaders.all()
            others = [item for item in leaders if item.name != self._local_member.name]
            wanted_leaders = {leader.data_centre: leader for leader in others}
            top_data_centre = None if self._is_reader() else leaders[0].data_centre
        for data_centre, subscription in list(self._remote_subscriptions.items()):
            if not subscription.member.is_same(wanted_leaders.get(data_centre)) or (
                subscription.wants_records != (data_centre == top_data_centre)
            ):
                subscription.close()
                del self._remote_subscriptions[data_centre]
        for data_centre, leader in wanted_leaders.items():
            if data_centre not in self._remote_subscriptions:
                subscription = self._open(leader, data_centre == top_data_centre)
                self._remote_subscriptions[data_centre] = subscription

    def _probe_candidates(self):
        """Return the members ahead of those that answer, by data centre.

        Only leaders follow other data centres.
        """
        local_data_centre = self._local_member.data_centre
        followed = {local_data_centre: self._leader_subscription}
        if self.is_leader():
            others = dict.fromkeys(self._fleet_state.ranked_by_data_centre)
            followed = others | followed | self._remote_subscriptions
        return {
            data_centre: self._leaders.ahead_of(data_centre, subscription)
            for data_centre, subscription in followed.items()
        }

    def _open(self, member, wants_records):
        subscription = self._subscribe(member, wants_records)
        subscription.start()
        return subscription

    def _drop_ended_subscriptions(self):
        """Record which subscriptions work, and drop those that ended by themselves."""
        if self._has_ended(self._leader_subscription):
            self._leader_subscription = None
        if self._has_ended(self._fallback.subscription):
            self._fallback.drop()
        for data_centre, subscription in list(self._remote_subscriptions.items()):
            if self._has_ended(subscription):
                del self._remote_subscriptions[data_centre]

    def _has_ended(self, subscription):
        """Return whether a subscription ended by itself, and record its result."""
        if subscription is None:
            return False
        if subscription.coordinator:
            self._reachability.record_answer(subscription.member)
        if subscription.ended:
            self._reachability.record_failure(
                subscription.member, subscription.opened_at
            )
        return subscription.ended
