"""Tells subscribers what changes, and takes their reports.

What all subscribers are told alike is summed and encoded once. Only one that is behind,
or has just opened its subscription, gets news of its own.
"""

import msgspec

from mulberryhub.base.green import Event, Timeout, sleep
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
    encode,
)
from mulberryhub.fleet.records import Configuration, Member, Upstream
from mulberryhub.http.accepting import accept_all
from mulberryhub.http.sockets import close, open_listener, tune

HEARTBEAT = 250  # ms between two messages without a change, to many subscribers
SHORT_HEARTBEAT = 100  # ms, to few
HEARTBEAT_STEP = 12  # ms for each subscriber, so that messages in all are bounded
READER_PERIOD = 250  # ms between two sums told to another data centre
GATHERING = 10  # ms in which changes are gathered into one message
NEWEST_SLOTS = 5  # of what was admitted, told again and again as they may still change
TOPIC_BY_TYPE = {Upstream: Topic.UPSTREAMS, Member: Topic.MEMBERS}

log = module_logger(__name__)


class Progress(msgspec.Struct, frozen=True):
    """What a subscriber was told: up to which revision of the beliefs, which rollout.

    `told_to` is the position of the upstream ids that it was told last.
    """

    revision: int = 0
    rollout_order: tuple[int, int] | None = None
    told_to: int | None = None


class Subscriber:
    """A subscription with its Progress, None before the first news.

    `told_use_at` is the ms at which it was told the use of this data centre last.
    """

    __slots__ = ("channel", "hello", "progress", "told_use_at")

    def __init__(self, channel, hello):
        self.channel = channel
        self.hello = hello
        self.progress = None
        self.told_use_at = None


class Broadcast:
    """Encoded news that bring subscribers from one Progress to another."""

    __slots__ = ("before", "after", "data")

    def __init__(self, before, after, data):
        self.before = before
        self.after = after
        self.data = data


class Publisher:
    """Serves subscriptions at `address`.

    `is_current()` tells whether this router's own knowledge is fresh.
    """

    __slots__ = (
        "_address",
        "_beliefs",
        "_use_table",
        "_is_current",
        "_clock",
        "_listener",
        "_subscribers",
        "_use",
        "_summed_at",
        "_broadcast",
        "_ticked",
    )

    def __init__(self, address, beliefs, use_table, is_current, clock):
        self._address = address
        self._beliefs = beliefs
        self._use_table = use_table
        self._is_current = is_current
        self._clock = clock
        self._listener = None
        self._subscribers = 0
        self._use = None
        self._summed_at = None
        self._broadcast = Broadcast(None, Progress(), b"")
        self._ticked = Event()

    def start(self):
        """Listen and accept in the background."""
        self._listener = open_listener(self._address)
        spawn_task(accept_all, self._listener, self._serve_socket)
        spawn_task(self._tick_on)

    def stop(self):
        """Take no further subscriptions."""
        close(self._listener)

    def heartbeat(self):
        """Return the ms between two messages to a subscriber without a change."""
        return min(max(SHORT_HEARTBEAT, HEARTBEAT_STEP * self._subscribers), HEARTBEAT)

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
            spawn_task(self._publish, Subscriber(channel, hello))
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
        if hello.data_centre == self._use_table.data_centre:
            self._use_table.note_report(
                name, report.use, report.remembered, report.number
            )
        for observation in report.observations:
            self._beliefs.learn(observation, name)
        if report.rollout is not None:
            self._beliefs.learn_rollout(report.rollout)

    def _tick_on(self):
        while True:
            with Timeout(self.heartbeat() / 1000, False):
                self._beliefs.wait_for_change()
            sleep(GATHERING / 1000)
            if self._subscribers:
                self._tick()

    def _tick(self):
        """Make the news of this moment and let all subscribers have them.

        Sums are made each heartbeat only; what changed between goes out without them.
        """
        before = self._broadcast.after
        now = self._clock.now()
        news = self._news(before.revision)
        if self._summed_at is None or now - self._summed_at >= self.heartbeat():
            self._summed_at = now
            self._use = self._use_table.here(NEWEST_SLOTS)
            self._add_sums(news, self._use, NEWEST_SLOTS)
        after = self._add_rest(before, news)
        self._broadcast = Broadcast(before, after, encode(news))
        ticked, self._ticked = self._ticked, Event()
        ticked.send()

    def _publish(self, subscriber):
        self._subscribers += 1
        try:
            while True:
                ticked = self._ticked
                subscriber.channel.send_encoded(self._data_for(subscriber))
                ticked.wait()
        except ChannelBroken as error:
            name = subscriber.hello.name
            log.debug("publishing ended", subscriber=name, reason=str(error))
            subscriber.channel.close()
        finally:
            self._subscribers -= 1

    def _data_for(self, subscriber):
        """Return the messages that bring `subscriber` up to date."""
        hello, broadcast = subscriber.hello, self._broadcast
        if hello.data_centre != self._use_table.data_centre:
            news = self._news_for_reader(subscriber)
            return b"" if news is None else encode(news)
        counted = self._use_table.acked_report_number(hello.name)
        prefix = b"" if counted is None else encode(Counted(counted))
        if subscriber.progress == broadcast.before:
            subscriber.progress = broadcast.after
            return prefix + broadcast.data
        return prefix + encode(self._news_for_one(subscriber))

    def _news_for_one(self, subscriber):
        """Return the News of one subscriber, with all that it was not told."""
        before = subscriber.progress or Progress()
        news = self._news(before.revision)
        if subscriber.progress is None:
            hello = subscriber.hello
            news.records = [item for item in news.records if _is_new(item, hello)]
            self._add_sums(news, self._use_table.here())
        else:
            self._add_sums(news, self._use, NEWEST_SLOTS)
        subscriber.progress = self._add_rest(before, news)
        return news

    def _news_for_reader(self, subscriber):
        """Return News for a router of another data centre, or None without any.

        Links between data centres are dear, so sums go there less often.
        """
        before = subscriber.progress or Progress()
        wants_records = subscriber.hello.wants_records
        news = self._news(before.revision) if wants_records else News()
        if subscriber.progress is None:
            self._add_first(subscriber, news)
        elif self._clock.now() - subscriber.told_use_at >= READER_PERIOD:
            news.use = self._use
        if not wants_records:
            news.records = self._beliefs.observations_since(before.revision)
        if news.use is not None:
            subscriber.told_use_at = self._clock.now()
        after = self._add_rest(before, news, lists=wants_records)
        subscriber.progress = after
        is_empty = news.use is None and not news.records
        if is_empty and news.rollout is None and news.upstream_ids is None:
            return None
        return news

    def _add_first(self, subscriber, news):
        """Add what a router of another data centre is told first."""
        hello = subscriber.hello
        news.use = self._use_table.here()
        known = self._use_table.known_of(hello.data_centre)
        news.admitted_by_data_centre = {hello.data_centre: known}
        news.records = [item for item in news.records if _is_new(item, hello)]

    def _add_sums(self, news, use, slots=None):
        news.use = use
        news.elsewhere = self._use_table.elsewhere()
        news.admitted_by_data_centre = self._use_table.admitted_elsewhere(slots)

    def _add_rest(self, before, news, lists=True):
        """Add what is told on a change only; return the Progress that `news` bring."""
        beliefs = self._beliefs
        if beliefs.rollout.order != before.rollout_order:
            news.rollout = beliefs.rollout
        told_to = before.told_to
        if lists and self._is_listing_due(told_to):
            news.upstream_ids = list(beliefs.upstreams_by_id)
            told_to = min(self._upstreams_position(), beliefs.listed_up_to)
        return Progress(beliefs.revision, beliefs.rollout.order, told_to)

    def _is_listing_due(self, told_to):
        """Tell whether a subscriber that has all ids up to `told_to` needs them again.

        Without any it does; later only after a listing, once it is believed whole.
        """
        position = self._upstreams_position()
        if told_to is None:
            return position != UNKNOWN
        listed_up_to = self._beliefs.listed_up_to
        return told_to != listed_up_to and position >= listed_up_to

    def _upstreams_position(self):
        return self._beliefs.position_by_topic[Topic.UPSTREAMS]

    def _news(self, revision):
        """Return News, without sums, of all that changed since `revision`."""
        beliefs = self._beliefs
        news = News()
        news.reads = self._is_current()
        news.position_by_topic = {
            str(topic): position
            for topic, position in beliefs.position_by_topic.items()
        }
        for topic in beliefs.position_by_topic:
            age = beliefs.age(topic)
            if age is not None:
                news.age_by_topic[str(topic)] = age
        news.kept_age = beliefs.kept.age()
        news.records = beliefs.changes_since(revision)
        return news


def _is_new(record, hello):
    """Tell whether a subscriber lacks a record when it opens its subscription."""
    if isinstance(record, Configuration):
        return record.version > hello.configuration_version
    topic = TOPIC_BY_TYPE.get(type(record))
    if topic is None:
        return True
    return record.offset >= hello.position_by_topic.get(topic, 0)
