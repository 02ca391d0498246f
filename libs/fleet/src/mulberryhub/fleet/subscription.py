"""A subscription to another router: its news are applied as they come."""

import msgspec

from mulberryhub.base.green import Timeout
from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_task
from mulberryhub.fleet.beliefs import UNKNOWN, Topic
from mulberryhub.fleet.channel import (
    Channel,
    ChannelBroken,
    Counted,
    Hello,
    News,
    Report,
)

REPORT_PERIOD = 250  # ms
SHORT_PERIOD = 100  # ms between reports while work in flight changes
NOTABLE_WORK = 40  # ms of work in flight
NEWEST_SLOTS = 4  # of what was admitted, told again as they may still change
MOST_REPORTS = 100  # that are kept until the publisher counts them
SILENCE = 1_300  # ms without news after which the publisher counts as lost

log = module_logger(__name__)


class SentReport:
    """What the last report told, its number and the ms at which it was sent.

    `revision` is that of the beliefs up to which observations were told.
    """

    __slots__ = ("number", "use", "rollout_order", "revision", "at")

    def __init__(self, number, use, rollout_order, revision, at):
        self.number = number
        self.use = use
        self.rollout_order = rollout_order
        self.revision = revision
        self.at = at


class Subscription:
    """Takes the news of `member` until it fails or is closed.

    `reads` tells whether `member` last had current news itself.
    """

    __slots__ = (
        "member",
        "opened_at",
        "ended",
        "reads",
        "_me",
        "wants_records",
        "_beliefs",
        "_removals",
        "_use_table",
        "_clock",
        "_channel",
        "_counted",
        "_sent_by_number",
    )

    def __init__(self, member, me, wants_records, beliefs, removals, use_table, clock):
        self.member = member
        self.opened_at = clock.now()
        self.ended = False
        self.reads = False
        self._me = me
        self.wants_records = wants_records
        self._beliefs = beliefs
        self._removals = removals
        self._use_table = use_table
        self._clock = clock
        self._channel = None
        self._counted = None
        self._sent_by_number = {}

    def start(self):
        """Subscribe in the background; `ended` tells when it is over."""
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
            self._channel.send(self._hello())
            spawn_task(self._report)
            while not self.ended:
                with Timeout(SILENCE / 1000, ChannelBroken("silent")):
                    news = self._channel.receive()
                if isinstance(news, Counted):
                    self._note_counted(news.number)
                elif isinstance(news, News):
                    self._apply(news)
        except ChannelBroken as error:
            if not self.ended:
                log.info("member lost", member=self.member.name, reason=str(error))
        finally:
            self.close()

    def _hello(self):
        beliefs = self._beliefs
        configuration = beliefs.configuration
        return Hello(
            name=self._me.name,
            data_centre=self._me.data_centre,
            wants_records=self.wants_records,
            configuration_version=-1
            if configuration is None
            else configuration.version,
            position_by_topic={
                str(topic): position
                for topic, position in beliefs.position_by_topic.items()
            },
        )

    def _apply(self, news):
        beliefs = self._beliefs
        self.reads = news.reads
        for record in news.records:
            beliefs.learn(record, self.member.name)
        self._apply_positions(news)
        now = self._clock.now()
        if news.kept_age is not None:
            beliefs.kept.heard(now - news.kept_age)
        if news.rollout is not None:
            beliefs.learn_rollout(news.rollout)
        self._apply_use(news)

    def _apply_use(self, news):
        if news.use is None:
            return
        use_table = self._use_table
        admitted = news.admitted_by_data_centre
        if self.member.data_centre != self._me.data_centre:
            use_table.note_elsewhere(self.member.data_centre, news.use, admitted)
        elif self.wants_records:
            use_table.note_told(news.use, self._sent_by_number.get(self._counted))
            use_table.note_told_elsewhere(news.elsewhere, admitted)

    def _note_counted(self, number):
        """Note which report the next news count; older ones are not needed more."""
        self._counted = number
        for older in [other for other in self._sent_by_number if other < number]:
            del self._sent_by_number[older]

    def _apply_positions(self, news):
        """Take how far the publisher knows each topic, with what is gone by then."""
        now = self._clock.now()
        for name, position in news.position_by_topic.items():
            topic = Topic(name)
            if topic is Topic.UPSTREAMS:
                if news.upstream_ids is not None:
                    self._removals.remove_unlisted(news.upstream_ids, position)
                if not self._removals.is_settled():
                    position = UNKNOWN
            age = news.age_by_topic.get(topic)
            if age is not None:
                self._beliefs.mark_read_up_to(topic, position, now - age)

    def _report(self):
        sent = None
        try:
            while not self.ended:
                use = self._use_table.own()
                if sent is None or self._is_due(sent, use):
                    sent = self._send(use, sent)
                self._pause(sent)
        except ChannelBroken:
            self.close()

    def _is_due(self, sent, use):
        """Tell whether a report is due after the one `sent`."""
        return (
            self._clock.now() - sent.at >= REPORT_PERIOD
            or self._has_urgent(sent)
            or use.work_differs(sent.use, NOTABLE_WORK)
        )

    def _send(self, use, sent):
        """Send a report, with a rollout that is new; return its SentReport."""
        number = 0 if sent is None else sent.number + 1
        report = Report(number, use)
        if sent is None:
            report.remembered = self._use_table.remembered()
        else:
            report.use = msgspec.structs.replace(
                use, admitted=use.admitted.newest(NEWEST_SLOTS)
            )
        rollout = self._beliefs.rollout
        revision = self._beliefs.revision
        report.observations = self._observations(sent)
        if sent is None or rollout.order != sent.rollout_order:
            report.rollout = rollout
        self._channel.send(report)
        if len(self._sent_by_number) < MOST_REPORTS:
            self._sent_by_number[number] = use
        return SentReport(number, use, rollout.order, revision, self._clock.now())

    def _observations(self, sent):
        """Return the observations that the publisher was not told."""
        told = 0 if sent is None else sent.revision
        return self._beliefs.observations_since(told, self.member.name)

    def _has_urgent(self, sent):
        """Tell whether something came up that is reported at once."""
        if self._beliefs.rollout.order != sent.rollout_order:
            return True
        return bool(self._observations(sent))

    def _pause(self, sent):
        """Wait for the next look, until something urgent comes up."""
        end = self._clock.now() + SHORT_PERIOD
        while self._clock.now() < end and not self._has_urgent(sent):
            with Timeout((end - self._clock.now()) / 1000, False):
                self._beliefs.wait_for_change()
