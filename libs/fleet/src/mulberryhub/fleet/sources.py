"""Where a router takes its news: the store itself, or another router that reads it.

In each data centre the strongest live member reads the store and the others subscribe
to it. A router whose news of any topic that requests depend on grow old reads
the store itself, and goes on while the one it follows cannot. Where it cannot reach it
either, it also subscribes to members anywhere, one after the other.
"""

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

    def start(self):
        """Choose again and again in the background."""
        spawn_task(self._run)

    def should_read(self):
        """Tell whether this router is to read the store itself."""
        reading = (
            self.is_leader()
            or not self._is_fresh()
            or not self._is_led()
            or self._reads_fail()
        )
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

    def is_leader(self):
        """Tell whether this router reads for its data centre."""
        leader = self._leader_of(self._me.data_centre)
        return leader is None or leader.name == self._me.name

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

    def _is_led(self):
        """Tell whether the router that this one follows reads the store."""
        return self._leader is not None and self._leader.reads

    def _is_fresh(self):
        ages = [self._beliefs.age(topic) for topic in NEEDED_TOPICS]
        return all(age is not None and age <= FRESH for age in ages)

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
            if self._is_fresh() or now - self._helper_since < HELPER_TIME:
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
        if self.is_leader():
            centres = self._beliefs.ranked_by_data_centre.keys()
            for data_centre in centres - {self._me.data_centre}:
                leader = self._leader_of(data_centre)
                if leader is not None:
                    wanted[data_centre] = leader
        for data_centre, subscription in list(self._remote_by_data_centre.items()):
            if wanted.get(data_centre) != subscription.member:
                subscription.close()
                del self._remote_by_data_centre[data_centre]
        for data_centre, leader in wanted.items():
            if data_centre not in self._remote_by_data_centre:
                self._remote_by_data_centre[data_centre] = self._open(leader, False)

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
