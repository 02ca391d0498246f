"""A subscription to another router: applies its updates and sends reports to it."""

from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_task
from mulberryhub.fleet.channel import (
    Channel,
    ChannelError,
    Hello,
    ReportAck,
    Update,
)
from mulberryhub.fleet.records import Weights
from mulberryhub.fleet.reporter import Reporter
from mulberryhub.fleet.state import UNKNOWN_POSITION, Topic
from mulberryhub.fleet.transit import TransitBound

PUBLISHER_TIMEOUT_MS = 1_000  # without messages, after which the connection is closed
MAX_MESSAGE_GAP_MS = 1_500  # between messages, after which they may be old

log = module_logger(__name__)


class Subscription:
    """Applies updates from `member` until the connection fails or is closed.

    `is_publisher_current` is whether `member` had current data itself at its last
    update, `coordinator` the name of the router that it asks for permits, or "".
    """

    __slots__ = (
        "member",
        "opened_at",
        "ended",
        "is_publisher_current",
        "coordinator",
        "_local_member",
        "wants_records",
        "_fleet_state",
        "_removals",
        "_usage_table",
        "_clock",
        "_channel",
        "_reporter",
        "_transit_bound",
    )

    def __init__(
        self,
        member,
        local_member,
        wants_records,
        fleet_state,
        removals,
        usage_table,
        clock,
    ):
        self.member = member
        self.opened_at = clock.now()
        self.ended = False
        self.is_publisher_current = False
        self.coordinator = ""
        self._local_member = local_member
        self.wants_records = wants_records
        self._fleet_state = fleet_state
        self._removals = removals
        self._usage_table = usage_table
        self._clock = clock
        self._channel = None
        self._reporter = Reporter(member, local_member, fleet_state, usage_table, clock)
        self._transit_bound = TransitBound()

    def start(self):
        """Subscribe in the background; `ended` is set when the subscription is over."""
        spawn_task(self._run)

    def close(self):
        """End the subscription."""
        self.ended = True
        if self._channel is not None:
            self._channel.close()

    def _run(self):
        try:
            self._channel = Channel.open(self.member.address)
            if self.ended:
                return
            received_at = hello_sent_at = self._clock.now()
            self._channel.send(self._make_hello())
            spawn_task(self._send_reports)
            while not self.ended:
                message = self._channel.receive(PUBLISHER_TIMEOUT_MS)
                # The timeout does not count the ms in which the machine slept.
                if self._clock.now() - received_at > MAX_MESSAGE_GAP_MS:
                    raise ChannelError("old messages")
                received_at = self._clock.now()
                if isinstance(message, ReportAck):
                    self._apply_ack(message)
                elif isinstance(message, Update):
                    self._learn_transit(message, hello_sent_at)
                    self._apply_update(message, received_at)
        except ChannelError as error:
            if not self.ended:
                log.info("member lost", member=self.member.name, reason=str(error))
        finally:
            self.close()

    def _send_reports(self):
        try:
            while not self.ended:
                self._reporter.send_due(self._channel)
                self._reporter.wait_until_next_check()
        except ChannelError:
            self.close()

    def _apply_ack(self, ack):
        self._reporter.record_ack(ack.number)
        answered_at = self._reporter.acked_sent_at()
        if ack.sent_at is not None and answered_at is not None:
            self._transit_bound.learn(ack.sent_at, answered_at)

    def _learn_transit(self, update, hello_sent_at):
        """Learn how long updates take at most; the first one answers the Hello."""
        if update.sent_at is not None:
            if self._reporter.answered_at is None:
                self._transit_bound.learn(update.sent_at, hello_sent_at)
            self._reporter.answered_at = update.sent_at

    def _make_hello(self):
        fleet_state = self._fleet_state
        configuration = fleet_state.configuration
        return Hello(
            name=self._local_member.name,
            data_centre=self._local_member.data_centre,
            wants_records=self.wants_records,
            configuration_version=-1
            if configuration is None
            else configuration.version,
            position_by_topic={
                str(topic): position
                for topic, position in fleet_state.position_by_topic.items()
            },
        )

    def _apply_update(self, update, received_at):
        """Apply an update that was received at `received_at` ms."""
        wait = self._transit_bound.longest_wait(update.sent_at, received_at)
        as_of = None if wait is None else received_at - wait
        fleet_state = self._fleet_state
        self.is_publisher_current = update.is_current
        self.coordinator = update.coordinator or self.coordinator
        if update.cache_start is not None:
            fleet_state.cache_index.record_start(*update.cache_start)
        for record in update.records:
            if isinstance(record, Weights):
                fleet_state.apply_told_weights(record, as_of)
            else:
                fleet_state.apply(record, self.member.name)
        self._apply_positions(update)
        if as_of is not None and update.operator_absent_age is not None:
            fleet_state.record_operator_absent(as_of - update.operator_absent_age)
        now = self._clock.now()
        if update.cache_index_age is not None:
            fleet_state.cache_index.mark_current(now - update.cache_index_age)
        if update.rollout is not None:
            fleet_state.apply_rollout(update.rollout)
        self._apply_usage(update)

    def _apply_usage(self, update):
        if update.use is None:
            return
        usage_table = self._usage_table
        admitted = update.admitted_by_data_centre
        if self.member.data_centre != self._local_member.data_centre:
            usage_table.record_remote(self.member.data_centre, update.use, admitted)
        elif self.wants_records:
            usage_table.record_local(update.use, self._reporter.acked_usage())
            usage_table.record_remote_total(update.remote_use, admitted)

    def _apply_positions(self, update):
        """Apply the publisher's position in each topic, and removals up to it."""
        now = self._clock.now()
        for name, position in update.position_by_topic.items():
            topic = Topic(name)
            if topic is Topic.UPSTREAMS:
                if update.upstream_ids is not None:
                    self._removals.remove_unlisted(update.upstream_ids, position)
                if not self._removals.is_fully_applied():
                    position = UNKNOWN_POSITION
                if position > self._fleet_state.position_by_topic[topic]:
                    # Only the newest record of each upstream was sent.
                    self._fleet_state.seen_software.record_skip()
            age = update.age_by_topic.get(topic)
            if age is not None:
                as_of = now - age
                self._fleet_state.mark_read_up_to(topic, position, as_of, False)
