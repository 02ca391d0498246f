"""A subscription to another router: its news are applied as they come."""

from mulberryhub.base.green import Timeout
from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_task
from mulberryhub.fleet.beliefs import Topic
from mulberryhub.fleet.channel import Channel, ChannelBroken, Hello, News, Report

REPORT_PERIOD = 250  # ms
SILENCE = 1_300  # ms without news after which the publisher counts as lost

log = module_logger(__name__)


class Subscription:
    """Takes the news of `member` until it fails or is closed."""

    __slots__ = (
        "member",
        "opened_at",
        "ended",
        "_me",
        "_wants_records",
        "_beliefs",
        "_use_table",
        "_clock",
        "_channel",
    )

    def __init__(self, member, me, wants_records, beliefs, use_table, clock):
        self.member = member
        self.opened_at = clock.now()
        self.ended = False
        self._me = me
        self._wants_records = wants_records
        self._beliefs = beliefs
        self._use_table = use_table
        self._clock = clock
        self._channel = None

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
                if isinstance(news, News):
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
            wants_records=self._wants_records,
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
        for record in news.records:
            beliefs.learn(record)
        now = self._clock.now()
        for topic, position in news.position_by_topic.items():
            age = news.age_by_topic.get(topic)
            if age is not None:
                beliefs.read_up_to(Topic(topic), position, now - age)
        if news.kept_age is not None:
            beliefs.kept.heard(now - news.kept_age)
        if news.rollout is not None:
            beliefs.learn_rollout(news.rollout)
        if not self._wants_records:
            self._use_table.note_elsewhere(self.member.data_centre, news.use)
        elif self.member.data_centre == self._me.data_centre:
            self._use_table.note_told(news.use, news.counted)
        for data_centre, use in news.use_by_data_centre.items():
            self._use_table.note_elsewhere(data_centre, use)

    def _report(self):
        sent_order = None
        try:
            while not self.ended:
                report = Report(self._use_table.own(), self._use_table.remembered())
                if self._beliefs.rollout.order != sent_order:
                    sent_order = self._beliefs.rollout.order
                    report.rollout = self._beliefs.rollout
                self._channel.send(report)
                self._pause(sent_order)
        except ChannelBroken:
            self.close()

    def _pause(self, sent_order):
        """Wait for the next report; a new rollout is passed on at once."""
        end = self._clock.now() + REPORT_PERIOD
        while self._clock.now() < end:
            with Timeout((end - self._clock.now()) / 1000, False):
                self._beliefs.wait_for_change()
            if self._beliefs.rollout.order != sent_order:
                return
