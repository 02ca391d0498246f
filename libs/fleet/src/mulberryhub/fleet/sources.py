"""Where a router takes its news: the store itself, or another router that reads it.

In each data centre the strongest live member leads: the others subscribe to it. The two
strongest leaders read the store, the other leaders subscribe to the first of them. A
router whose news of any topic that requests depend on grow old reads the store itself,
and goes on while the one it follows cannot. Where it cannot reach it either, it also
subscribes to members anywhere, one after the other.
"""

from math import inf
from random import choice

from mulberryhub.base.green import sleep
from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_task
from mulberryhub.fleet.beliefs import Topic

TICK = 100  # ms
FRESH = 1_300  # ms of age up to which news are current
HELPER_TIME = 1_500  # ms that a helper gets to bring newer news
FIRST_AVOIDANCE = 2_000  # ms for which a member is avoided after a failure
LONGEST_AVOIDANCE = 16_000  # ms
READERS = 2  # leaders that read the store for all
DEPUTIES = 3  # members after the leader that read at once where its news grow old
STAGGER = 100  # ms that each further member leaves to those before it
LONGEST_STAGGER = 800  # ms
JOIN_TIME = 400  # ms that a router which starts leaves to the one that it follows
NEEDED_TOPICS = (Topic.OPERATOR, Topic.UPSTREAMS)  # those that requests depend on

log = module_logger(__name__)


class Avoidance:
    """Until when a member is not asked again, and for how long the next time."""

    __slots__ = ("until", "next_time")

    def __init__(self):
        self.until = 0
        self.next_time = FIRST_AVOIDANCE


class Sources:
    """Chooses whom to follow; `me` is the Member that this router is.

    `seeds` are Members to ask while no others are known, as where the store is away at
    the start. `subscribe(member, wants_records)` returns a Subscription that is not
    started; `reads_fail()` tells whether this router's own reads of the store fail.
    """

    __slots__ = (
        "_me",
        "_beliefs",
        "_seeds",
        "_subscribe",
        "_reads_fail",
        "_clock",
        "_leader",
        "_helper",
        "_helper_since",
        "_remote_by_data_centre",
        "_avoidance_by_name",
        "_was_reading",
        "_started",
    )

    def __init__(self, me, seeds, beliefs, subscribe, reads_fail, clock):
        self._me = me
        self._seeds = [seed for seed in seeds if seed.address != me.address]
        self._beliefs = beliefs
        self._subscribe = subscribe
        self._reads_fail = reads_fail
        self._clock = clock
        self._leader = None
        self._helper = None
        self._helper_since = 0
        self._remote_by_data_centre = {}
        self._avoidance_by_name = {}
        self._was_reading = None
        self._started = clock.now()

    def start(self):
        """Choose again and again in the background."""
        spawn_task(self._run)

    def should_read(self):
        """Tell whether this router is to read the store itself."""
        reading = self._is_reader() or self._is_stale() or self._is_left_alone()
        if reading != self._was_reading:
            self._was_reading = reading
            log.info(
                "reads the store",
                reading=reading,
                leader=self.is_leader(),
                reads_fail=self._reads_fail(),
                operator_age_ms=self._beliefs.age(Topic.OPERATOR),
                upstreams_age_ms=self._beliefs.age(Topic.UPSTREAMS),
            )
        return reading

    def should_read_members(self):
        """Tell whether this router is to read who the members are."""
        is_unknown = self._beliefs.age(Topic.MEMBERS) is None
        return is_unknown or self._is_reader()

    def is_leader(self):
        """Tell whether the others of the data centre follow this router."""
        leader = self._leader_of(self._me.data_centre)
        return leader is None or leader.name == self._me.name

    def is_current(self):
        """Tell whether this router's knowledge of the needed topics is fresh."""
        return self._staleness() <= FRESH

    def step(self):
        """Look once at whom to follow."""
        self._reap()
        self._follow_leader()
        self._follow_helper()
        self._follow_other_data_centres()

    def _run(self):
        while True:
            self.step()
            sleep(TICK / 1000)

    def _leaders(self):
        """Return the leaders of all data centres, the strongest first."""
        leaders = [
            self._leader_of(data_centre)
            for data_centre in self._beliefs.ranked_by_data_centre
        ]
        known = [leader for leader in leaders if leader is not None]
        return sorted(known, key=lambda leader: leader.rank)

    def _is_reader(self):
        if not self.is_leader():
            return False
        names = [leader.name for leader in self._leaders()[:READERS]]
        return self._me.name in names or len(names) < READERS

    def _place(self):
        """Return the number of live members of the data centre before this one."""
        place = 0
        for member in self._beliefs.ranked_by_data_centre.get(self._me.data_centre, ()):
            if member.name == self._me.name:
                break
            place += not self._is_avoided(member)
        return place

    def _staleness(self):
        """Return the age in ms of the oldest topic that requests depend on."""
        ages = [self._beliefs.age(topic) for topic in NEEDED_TOPICS]
        return inf if None in ages else max(ages)

    def _is_stale(self):
        """Tell whether news are so old that this router is to read.

        Members further behind leave it to those before them, so that not all read at
        once. One that starts leaves it to the router that it follows.
        """
        staleness = self._staleness()
        if staleness == inf:
            waited = self._clock.now() - self._started
            return waited >= JOIN_TIME or not self._follows()
        behind = max(0, self._place() - DEPUTIES)
        return staleness > FRESH + min(behind * STAGGER, LONGEST_STAGGER)

    def _is_left_alone(self):
        """Tell whether this router reads as the one that it follows has no news."""
        if self._place() > DEPUTIES:
            return False
        return self._reads_fail() or not self._follows() or not self._followed().reads

    def _followed(self):
        return self._head if self.is_leader() else self._leader

    def _follows(self):
        followed = self._followed()
        return followed is not None and not followed.ended

    @property
    def _head(self):
        """Return the subscription to the strongest leader, or None."""
        for subscription in self._remote_by_data_centre.values():
            if subscription.wants_records:
                return subscription
        return None

    def _follow_leader(self):
        leader = self._leader_of(self._me.data_centre)
        if leader is not None and leader.name == self._me.name:
            leader = None
        if self._leader is not None and self._leader.member != leader:
            self._leader.close()
            self._leader = None
        if leader is not None and self._leader is None:
            self._leader = self._open(leader, True)

    def _follow_helper(self):
        """Ask members for news while the store cannot be read, each for a while."""
        now = self._clock.now()
        if not self._reads_fail():
            self._close_helper()
            return
        if self._helper is not None:
            if self.is_current() or now - self._helper_since < HELPER_TIME:
                return
            self._close_helper()
        candidates = self._helpers()
        if candidates:
            self._helper = self._open(choice(candidates), True)
            self._helper_since = now

    def _close_helper(self):
        if self._helper is not None:
            self._helper.close()
            self._helper = None

    def _helpers(self):
        followed = {self._me.name}
        if self._leader is not None:
            followed.add(self._leader.member.name)
        known = self._beliefs.members_by_name.values()
        others = [member for member in known if member.name != self._me.name]
        return [
            member
            for member in others or self._seeds
            if member.name not in followed and not self._is_avoided(member)
        ]

    def _follow_other_data_centres(self):
        wanted = {}
        head = None
        if self.is_leader():
            leaders = self._leaders()
            others = [item for item in leaders if item.name != self._me.name]
            wanted = {leader.data_centre: leader for leader in others}
            head = None if self._is_reader() else leaders[0].data_centre
        for data_centre, subscription in list(self._remote_by_data_centre.items()):
            if wanted.get(data_centre) != subscription.member or (
                subscription.wants_records != (data_centre == head)
            ):
                subscription.close()
                del self._remote_by_data_centre[data_centre]
        for data_centre, leader in wanted.items():
            if data_centre not in self._remote_by_data_centre:
                subscription = self._open(leader, data_centre == head)
                self._remote_by_data_centre[data_centre] = subscription

    def _leader_of(self, data_centre):
        for member in self._beliefs.ranked_by_data_centre.get(data_centre, ()):
            if not self._is_avoided(member):
                return member
        return None

    def _open(self, member, wants_records):
        subscription = self._subscribe(member, wants_records)
        subscription.start()
        return subscription

    def _reap(self):
        """Avoid members whose subscription ended by itself."""
        if self._leader is not None and self._leader.ended:
            self._avoid(self._leader)
            self._leader = None
        if self._helper is not None and self._helper.ended:
            self._avoid(self._helper)
            self._helper = None
        for data_centre, subscription in list(self._remote_by_data_centre.items()):
            if subscription.ended:
                self._avoid(subscription)
                del self._remote_by_data_centre[data_centre]

    def _avoid(self, subscription):
        now = self._clock.now()
        name = subscription.member.name
        avoidance = self._avoidance_by_name.get(name)
        if avoidance is None or now - subscription.opened_at > LONGEST_AVOIDANCE:
            avoidance = self._avoidance_by_name[name] = Avoidance()
        avoidance.until = now + avoidance.next_time
        avoidance.next_time = min(avoidance.next_time * 2, LONGEST_AVOIDANCE)

    def _is_avoided(self, member):
        avoidance = self._avoidance_by_name.get(member.name)
        return avoidance is not None and self._clock.now() < avoidance.until
