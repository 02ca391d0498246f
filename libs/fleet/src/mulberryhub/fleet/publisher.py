"""Tells subscribers what changes, and takes their reports."""

from mulberryhub.base.green import Timeout, sleep
from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_task
from mulberryhub.fleet.beliefs import UNKNOWN, Topic
from mulberryhub.fleet.channel import Channel, ChannelBroken, Hello, News, Report
from mulberryhub.fleet.records import Configuration, Member, Upstream
from mulberryhub.http.accepting import accept_all
from mulberryhub.http.sockets import close, open_listener, tune

HEARTBEAT = 250  # ms between two messages without a change, to many subscribers
SHORT_HEARTBEAT = 100  # ms, to few
HEARTBEAT_STEP = 12  # ms for each subscriber, so that messages in all are bounded
GATHERING = 10  # ms in which changes are gathered into one message
TOPIC_BY_TYPE = {Upstream: Topic.UPSTREAMS, Member: Topic.MEMBERS}

log = module_logger(__name__)


class Publisher:
    """Serves subscriptions at `address`.

    `is_reading()` tells whether this router's own reads of the store succeed.
    """

    __slots__ = (
        "_address",
        "_beliefs",
        "_use_table",
        "_is_reading",
        "_listener",
        "_subscribers",
    )

    def __init__(self, address, beliefs, use_table, is_reading):
        self._address = address
        self._beliefs = beliefs
        self._use_table = use_table
        self._is_reading = is_reading
        self._listener = None
        self._subscribers = 0

    def start(self):
        """Listen and accept in the background."""
        self._listener = open_listener(self._address)
        spawn_task(accept_all, self._listener, self._serve_socket)

    def stop(self):
        """Take no further subscriptions."""
        close(self._listener)

    def _serve_socket(self, sock):
        try:
            tune(sock)
        except OSError:
            close(sock)  # The subscriber left before it was served.
            return
        self._serve(Channel(sock))

    def _serve(self, channel):
        name = None
        try:
            hello = channel.receive()
            if not isinstance(hello, Hello):
                raise ChannelBroken("no hello")
            name = hello.name
            spawn_task(self._publish, channel, hello)
            while True:
                report = channel.receive()
                if isinstance(report, Report):
                    self._take(name, hello, report)
        except ChannelBroken as error:
            log.debug("subscription ended", subscriber=name, reason=str(error))
        finally:
            channel.close()
            if name is not None:
                self._use_table.forget(name)

    def _take(self, name, hello, report):
        if hello.wants_records:
            self._use_table.note_report(name, report.use, report.remembered)
        for departure in report.departures:
            self._beliefs.learn_departure(departure)
        if report.rollout is not None:
            self._beliefs.learn_rollout(report.rollout)

    def heartbeat(self):
        """Return the ms between two messages to a subscriber without a change."""
        return min(max(SHORT_HEARTBEAT, HEARTBEAT_STEP * self._subscribers), HEARTBEAT)

    def _publish(self, channel, hello):
        self._subscribers += 1
        try:
            self._tell(channel, hello)
        except ChannelBroken as error:
            log.debug("publishing ended", subscriber=hello.name, reason=str(error))
            channel.close()
        finally:
            self._subscribers -= 1

    def _tell(self, channel, hello):
        revision = 0
        rollout_order = None
        told_to = None
        while True:
            reached = self._beliefs.revision
            news = self._news(hello, revision)
            if self._beliefs.rollout.order != rollout_order:
                rollout_order = self._beliefs.rollout.order
                news.rollout = self._beliefs.rollout
            if hello.wants_records and self._is_listing_due(told_to):
                news.upstream_ids = list(self._beliefs.upstreams_by_id)
                told_to = min(self._upstreams_position(), self._beliefs.listed_to)
            channel.send(news)
            revision = reached
            with Timeout(self.heartbeat() / 1000, False):
                self._beliefs.wait_for_change()
            sleep(GATHERING / 1000)

    def _is_listing_due(self, told_to):
        """Tell whether a subscriber that has all ids up to `told_to` needs them again.

        Without any it does; later only after a listing, once it is believed whole.
        """
        position = self._upstreams_position()
        if told_to is None:
            return position != UNKNOWN
        listed_to = self._beliefs.listed_to
        return told_to != listed_to and position >= listed_to

    def _upstreams_position(self):
        return self._beliefs.position_by_topic[Topic.UPSTREAMS]

    def _news(self, hello, revision):
        news = News(use=self._use_table.here())
        if not hello.wants_records:
            known = self._use_table.known_of(hello.data_centre)
            news.use_by_data_centre = {hello.data_centre: known}
            news.records = self._beliefs.departures_since(revision)
            return news
        beliefs = self._beliefs
        news.reads = self._is_reading()
        news.counted = self._use_table.counted_for(hello.name)
        news.use_by_data_centre = self._use_table.elsewhere()
        news.position_by_topic = {
            str(topic): position
            for topic, position in beliefs.position_by_topic.items()
        }
        for topic in beliefs.position_by_topic:
            age = beliefs.age(topic)
            if age is not None:
                news.age_by_topic[str(topic)] = age
        news.kept_age = beliefs.kept.age()
        records = beliefs.changes_since(revision)
        if revision == 0:
            records = [record for record in records if _is_new(record, hello)]
        news.records = records
        return news


def _is_new(record, hello):
    """Tell whether a subscriber lacks a record when it opens its subscription."""
    if isinstance(record, Configuration):
        return record.version > hello.configuration_version
    topic = TOPIC_BY_TYPE.get(type(record))
    if topic is None:
        return True
    return record.offset >= hello.position_by_topic.get(topic, 0)
