"""A subscription to another router: applies its updates and sends reports to it."""

import msgspec

from mulberryhub.base.green import Timeout
from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_task
from mulberryhub.fleet.channel import (
    Channel,
    ChannelError,
    Hello,
    Report,
    ReportAck,
    Update,
)
from mulberryhub.fleet.records import Weights
from mulberryhub.fleet.state import UNKNOWN_POSITION, Topic
from mulberryhub.fleet.transit import TransitBound
from mulberryhub.fleet.usage import REPORTED_SLOT_COUNT

REPORT_INTERVAL_MS = 250  # between reports without a notable change
MIN_REPORT_INTERVAL_MS = 100  # between reports while work in flight changes
WORK_CHANGE_THRESHOLD_MS = 40  # change of work in flight that is reported early
MAX_UNACKED_REPORT_COUNT = 100  # kept until the publisher acknowledges them
PUBLISHER_TIMEOUT_MS = 1_000  # without messages, after which the connection is closed
MAX_MESSAGE_GAP_MS = 1_500  # between messages, after which they may be old

log = module_logger(__name__)


class SentReport:
    """The content of the last report, its number and the ms at which it was sent.

    `revision` is the local revision up to which observations were sent,
    `weights_revision` that of the named weights, None before they were sent.
    """

    __slots__ = (
        "number",
        "usage",
        "rollout_order",
        "revision",
        "weights_revision",
        "sent_at",
    )

    def __init__(
        self, number, usage, rollout_order, revision, weights_revision, sent_at
    ):
        self.number = number
        self.usage = usage
        self.rollout_order = rollout_order
        self.revision = revision
        self.weights_revision = weights_revision
        self.sent_at = sent_at


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
        "_acked_number",
        "_usage_by_report_number",
        "_transit_bound",
        "_answered_at",
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
        self._acked_number = None
        self._usage_by_report_number = {}
        self._transit_bound = TransitBound()
        self._answered_at = None

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
            spawn_task(self._report_loop)
            while not self.ended:
                message = self._channel.receive(PUBLISHER_TIMEOUT_MS)
                # The timeout does not count the ms in which the machine slept.
                if self._clock.now() - received_at > MAX_MESSAGE_GAP_MS:
                    raise ChannelError("old messages")
                received_at = self._clock.now()
                if isinstance(message, ReportAck):
                    self._apply_ack(message.number)
                elif isinstance(message, Update):
                    self._apply_update(
                        message, self._longest_wait(message, hello_sent_at, received_at)
                    )
        except ChannelError as error:
            if not self.ended:
                log.info("member lost", member=self.member.name, reason=str(error))
        finally:
            self.close()

    def _longest_wait(self, update, hello_sent_at, received_at):
        """Return for how many ms at most an update waited, None if it does not tell."""
        if update.sent_at is not None:
            if self._answered_at is None:
                self._transit_bound.learn(update.sent_at, hello_sent_at)
            self._answered_at = update.sent_at
        return self._transit_bound.longest_wait(update.sent_at, received_at)

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

    def _apply_update(self, update, wait):
        """Apply an update that waited for at most `wait` ms, None if unknown."""
        fleet_state = self._fleet_state
        self.is_publisher_current = update.is_current
        self.coordinator = update.coordinator or self.coordinator
        if update.cache_start is not None:
            fleet_state.cache_index.record_start(*update.cache_start)
        for record in update.records:
            if isinstance(record, Weights):
                record = record.aged(wait)
            fleet_state.apply(record, self.member.name)
        self._apply_positions(update, wait)
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
            usage_table.record_local(
                update.use, self._usage_by_report_number.get(self._acked_number)
            )
            usage_table.record_remote_total(update.remote_use, admitted)

    def _apply_ack(self, number):
        """Record which report the next update includes, and drop older ones."""
        self._acked_number = number
        for older in [
            other for other in self._usage_by_report_number if other < number
        ]:
            del self._usage_by_report_number[older]

    def _apply_positions(self, update, wait):
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
                self._fleet_state.mark_read_up_to(topic, position, now - age, wait)

    def _report_loop(self):
        last_sent = None
        try:
            while not self.ended:
                usage = self._usage_table.own()
                if last_sent is None or self._is_report_due(last_sent, usage):
                    last_sent = self._send_report(usage, last_sent)
                self._wait_until_next_check(last_sent)
        except ChannelError:
            self.close()

    def _is_report_due(self, last_sent, usage):
        """Return whether a report is due after `last_sent`."""
        return (
            self._clock.now() - last_sent.sent_at >= REPORT_INTERVAL_MS
            or self._has_urgent_changes(last_sent)
            or usage.work_differs(last_sent.usage, WORK_CHANGE_THRESHOLD_MS)
        )

    def _send_report(self, usage, last_sent):
        """Send a report, including a new rollout; return its SentReport."""
        number = 0 if last_sent is None else last_sent.number + 1
        report = Report(number, usage)
        if last_sent is None:
            report.admitted_by_data_centre = self._usage_table.admitted_by_data_centre()
            if self.member.data_centre == self._local_member.data_centre:
                report.unshared = self._usage_table.take_unshared()
        else:
            report.use = msgspec.structs.replace(
                usage, admitted=usage.admitted.newest(REPORTED_SLOT_COUNT)
            )
        weights_revision = self._add_weights(report, last_sent)
        rollout = self._fleet_state.rollout
        revision = self._fleet_state.revision
        report.observations = self._unsent_observations(last_sent)
        if last_sent is None or rollout.order != last_sent.rollout_order:
            report.rollout = rollout
        self._channel.send(report)
        if len(self._usage_by_report_number) < MAX_UNACKED_REPORT_COUNT:
            self._usage_by_report_number[number] = usage
        return SentReport(
            number,
            usage,
            rollout.order,
            revision,
            weights_revision,
            self._clock.now(),
        )

    def _add_weights(self, report, last_sent):
        """Add the named weights if they are due; return the revision that was sent.

        The publisher can only tell how old a report is if it answers an update.
        """
        report.sent_at = self._clock.now()
        report.answered_at = self._answered_at
        if not self._are_weights_due(last_sent):
            return None if last_sent is None else last_sent.weights_revision
        report.weights = self._fleet_state.named_weights.records()
        return self._fleet_state.named_weights.revision

    def _are_weights_due(self, last_sent):
        if self._answered_at is None:
            return False
        revision = self._fleet_state.named_weights.revision
        return last_sent is None or last_sent.weights_revision != revision

    def _unsent_observations(self, last_sent):
        """Return the observations that the publisher does not have."""
        reported_revision = 0 if last_sent is None else last_sent.revision
        return self._fleet_state.observations_since(reported_revision, self.member.name)

    def _has_urgent_changes(self, last_sent):
        """Return whether there is a change to report at once."""
        if self._fleet_state.rollout.order != last_sent.rollout_order:
            return True
        if self._are_weights_due(last_sent):
            return True
        return bool(self._unsent_observations(last_sent))

    def _wait_until_next_check(self, last_sent):
        """Wait until the next check, or until there is an urgent change."""
        end = self._clock.now() + MIN_REPORT_INTERVAL_MS
        while self._clock.now() < end and not self._has_urgent_changes(last_sent):
            with Timeout((end - self._clock.now()) / 1000, False):
                self._fleet_state.wait_for_change()
