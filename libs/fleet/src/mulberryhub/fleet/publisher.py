"""Sends changes to subscribers and receives their reports.

An update for all subscribers is built and encoded once. Only a subscriber that is
behind or has just connected gets an update of its own.
"""

import msgspec

from mulberryhub.base.green import Event, Timeout, sleep
from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_service, spawn_task
from mulberryhub.fleet.channel import (
    Channel,
    ChannelError,
    CoordinatorRequest,
    Hello,
    Report,
    ReportAck,
    Update,
    encode,
)
from mulberryhub.fleet.records import Configuration, Member, Upstream
from mulberryhub.fleet.release_records import ReleaseOrder
from mulberryhub.fleet.state import UNKNOWN_POSITION, Topic
from mulberryhub.fleet.transit import TransitBound
from mulberryhub.fleet.usage import PUBLISHED_SLOT_COUNT
from mulberryhub.http.accept_loop import run_accept_loop
from mulberryhub.http.sockets import close, open_listener, set_socket_options

MAX_HEARTBEAT_MS = 250  # between updates without a change, with many subscribers
MIN_HEARTBEAT_MS = 100  # with few subscribers
HEARTBEAT_MS_PER_SUBSCRIBER = 12  # limits the total rate of messages
REMOTE_USAGE_INTERVAL_MS = 250  # between usage updates to other data centres
# Between updates with the outcomes of releases, which only a decider reads.
RELEASE_COUNTS_INTERVAL_MS = 600
BATCH_DELAY_MS = 10  # during which changes are collected into one update
SUBSCRIBER_TIMEOUT_MS = 1_000  # without reports, after which it is disconnected
TOPIC_BY_TYPE = {
    Upstream: Topic.UPSTREAMS,
    Member: Topic.MEMBERS,
    ReleaseOrder: Topic.OPERATOR,
}

log = module_logger(__name__)


class Progress(msgspec.Struct, frozen=True):
    """What a subscriber has received: records up to `revision`, and which rollout.

    `ids_position` is the position of the upstream ids that were last sent.
    """

    revision: int = 0
    rollout_order: tuple[int, int] | None = None
    ids_position: int | None = None


class Subscriber:
    """A subscription with its Progress, which is None before the first update.

    `usage_sent_at` is the ms at which the usage of this data centre was last sent.
    """

    __slots__ = ("channel", "hello", "progress", "usage_sent_at")

    def __init__(self, channel, hello):
        self.channel = channel
        self.hello = hello
        self.progress = None
        self.usage_sent_at = None


class Broadcast:
    """An encoded update that moves subscribers from one Progress to another."""

    __slots__ = ("before", "after", "data")

    def __init__(self, before, after, data):
        self.before = before
        self.after = after
        self.data = data


class Publisher:
    """Serves subscriptions at `address`.

    `is_current()` returns whether this router's own data is fresh, and
    `find_coordinator()` the Member that it asks for permits. `coordinate(request)`
    returns the CoordinatorAnswer to a CoordinatorRequest of another router.
    """

    __slots__ = (
        "_address",
        "_fleet_state",
        "_usage_table",
        "_is_current",
        "_find_coordinator",
        "_coordinate",
        "_clock",
        "_listener",
        "_subscriber_count",
        "_summed_usage",
        "_summed_at",
        "_counts_sent_at",
        "_broadcast",
        "_tick_event",
    )

    def __init__(
        self,
        address,
        fleet_state,
        usage_table,
        is_current,
        find_coordinator,
        coordinate,
        clock,
    ):
        self._address = address
        self._fleet_state = fleet_state
        self._usage_table = usage_table
        self._is_current = is_current
        self._find_coordinator = find_coordinator
        self._coordinate = coordinate
        self._clock = clock
        self._listener = None
        self._subscriber_count = 0
        self._summed_usage = None
        self._summed_at = None
        self._counts_sent_at = None
        self._broadcast = Broadcast(None, Progress(), b"")
        self._tick_event = Event()

    def start(self):
        """Listen and accept subscriptions in the background."""
        self._listener = open_listener(self._address)
        spawn_service(run_accept_loop, self._listener, self._serve_socket)
        spawn_service(self._run_ticks)

    def stop(self):
        """Stop accepting subscriptions."""
        close(self._listener)

    def heartbeat(self):
        """Return the ms between two updates to a subscriber without a change."""
        return min(
            max(MIN_HEARTBEAT_MS, HEARTBEAT_MS_PER_SUBSCRIBER * self._subscriber_count),
            MAX_HEARTBEAT_MS,
        )

    def _serve_socket(self, sock):
        try:
            set_socket_options(sock)
        except OSError:
            close(sock)  # The subscriber disconnected before it was served.
            return
        self._serve(Channel(sock))

    def _serve(self, channel):
        name = None
        try:
            hello = channel.receive_first(SUBSCRIBER_TIMEOUT_MS)
            if isinstance(hello, CoordinatorRequest):
                self._serve_requests(channel, hello)
            if not isinstance(hello, Hello):
                raise ChannelError("first message is not a Hello")
            name = hello.name
            transit_bound = TransitBound()
            spawn_task(self._publish, Subscriber(channel, hello))
            while True:
                report = channel.receive(SUBSCRIBER_TIMEOUT_MS)
                if isinstance(report, Report):
                    if report.answered_at is not None:
                        transit_bound.learn(report.sent_at, report.answered_at)
                    now = self._clock.now()
                    wait = transit_bound.longest_wait(report.sent_at, now)
                    as_of = None if wait is None else now - wait
                    self._apply_report(name, hello, report, as_of)
        except ChannelError as error:
            log.debug("subscription ended", subscriber=name, reason=str(error))
        finally:
            channel.close()
            if name is not None:
                self._usage_table.forget(name)

    def _serve_requests(self, channel, request):
        """Answer requests to the coordinator, the first of which is `request`."""
        while isinstance(request, CoordinatorRequest):
            channel.send(self._coordinate(request))
            request = channel.receive()

    def _apply_report(self, name, hello, report, as_of):
        """Apply a report that was sent at `as_of` ms or later, None if unknown."""
        if hello.data_centre == self._usage_table.data_centre:
            self._usage_table.record_report(
                name,
                report.use,
                report.admitted_by_data_centre,
                report.number,
                report.unshared,
            )
        for observation in report.observations:
            self._fleet_state.apply(observation, name)
        for weights in report.weights:
            self._fleet_state.apply_told_weights(weights, as_of)
        if report.rollout is not None:
            self._fleet_state.apply_rollout(report.rollout)

    def _run_ticks(self):
        while True:
            with Timeout(self.heartbeat() / 1000, False):
                self._fleet_state.wait_for_change()
            sleep(BATCH_DELAY_MS / 1000)
            if self._subscriber_count:
                self._tick()

    def _tick(self):
        """Build the next update and wake all subscribers.

        Usage is summed once per heartbeat; updates in between carry changes only.
        """
        before = self._broadcast.after
        now = self._clock.now()
        update = self._make_update(before.revision)
        if self._summed_at is None or now - self._summed_at >= self.heartbeat():
            self._summed_at = now
            self._summed_usage = self._usage_table.sum_local(PUBLISHED_SLOT_COUNT)
            self._add_usage(update, self._summed_usage, PUBLISHED_SLOT_COUNT)
            self._limit_release_counts(update)
        after = self._add_rollout_and_ids(before, update)
        self._broadcast = Broadcast(before, after, encode(update))
        tick_event, self._tick_event = self._tick_event, Event()
        tick_event.send()

    def _limit_release_counts(self, update):
        """Leave out the outcomes of releases if subscribers have recent ones."""
        now, sent_at = self._clock.now(), self._counts_sent_at
        if sent_at is None or now - sent_at >= RELEASE_COUNTS_INTERVAL_MS:
            self._counts_sent_at = now
            return
        update.use = msgspec.structs.replace(update.use, release_counts={})
        update.remote_use = msgspec.structs.replace(
            update.remote_use, release_counts={}
        )

    def _publish(self, subscriber):
        self._subscriber_count += 1
        try:
            while True:
                tick_event = self._tick_event
                subscriber.channel.send_encoded(self._messages_for(subscriber))
                tick_event.wait()
        except ChannelError as error:
            name = subscriber.hello.name
            log.debug("publishing ended", subscriber=name, reason=str(error))
            subscriber.channel.close()
        finally:
            self._subscriber_count -= 1

    def _messages_for(self, subscriber):
        """Return the encoded messages that bring `subscriber` up to date."""
        hello, broadcast = subscriber.hello, self._broadcast
        if hello.data_centre != self._usage_table.data_centre:
            update = self._update_for_remote(subscriber)
            return b"" if update is None else encode(update)
        acked_number = self._usage_table.acked_report_number(hello.name)
        prefix = (
            b""
            if acked_number is None
            else encode(ReportAck(acked_number, self._clock.now()))
        )
        if subscriber.progress == broadcast.before:
            subscriber.progress = broadcast.after
            return prefix + broadcast.data
        return prefix + encode(self._update_for_subscriber(subscriber))

    def _update_for_subscriber(self, subscriber):
        """Return an Update for one subscriber with everything that it lacks."""
        before = subscriber.progress or Progress()
        update = self._make_update(before.revision)
        if subscriber.progress is None:
            hello = subscriber.hello
            update.records = [
                item for item in update.records if _is_missing(item, hello)
            ]
            self._add_usage(update, self._usage_table.sum_local())
        else:
            self._add_usage(update, self._summed_usage, PUBLISHED_SLOT_COUNT)
        subscriber.progress = self._add_rollout_and_ids(before, update)
        return update

    def _update_for_remote(self, subscriber):
        """Return an Update for a router of another data centre, or None if empty.

        Usage is sent less often there, as links between data centres are expensive.
        """
        before = subscriber.progress or Progress()
        wants_records = subscriber.hello.wants_records
        update = (
            self._make_update(before.revision) if wants_records else self._bare_update()
        )
        if subscriber.progress is None:
            self._add_initial_usage(subscriber, update)
        elif self._clock.now() - subscriber.usage_sent_at >= REMOTE_USAGE_INTERVAL_MS:
            update.use = self._summed_usage
        if not wants_records:
            update.records = self._fleet_state.observations_since(before.revision)
        if update.use is not None:
            subscriber.usage_sent_at = self._clock.now()
        after = self._add_rollout_and_ids(before, update, include_ids=wants_records)
        subscriber.progress = after
        is_empty = update.use is None and not update.records
        if is_empty and update.rollout is None and update.upstream_ids is None:
            return None
        return update

    def _bare_update(self):
        return Update(sent_at=self._clock.now())

    def _add_initial_usage(self, subscriber, update):
        """Add usage to the first Update for a router of another data centre.

        Records that it already has are removed.
        """
        hello = subscriber.hello
        update.coordinator = self._find_coordinator().name
        update.use = self._usage_table.sum_local()
        known = self._usage_table.admitted_in(hello.data_centre)
        update.admitted_by_data_centre = {hello.data_centre: known}
        update.records = [item for item in update.records if _is_missing(item, hello)]

    def _add_usage(self, update, usage, slots=None):
        update.use = usage
        update.remote_use = self._usage_table.remote()
        update.admitted_by_data_centre = self._usage_table.remote_admitted(slots)

    def _add_rollout_and_ids(self, before, update, include_ids=True):
        """Add the rollout and ids if they changed; return the new Progress."""
        fleet_state = self._fleet_state
        if fleet_state.rollout.order != before.rollout_order:
            update.rollout = fleet_state.rollout
        ids_position = before.ids_position
        if include_ids and self._are_ids_due(ids_position):
            update.upstream_ids = list(fleet_state.upstreams_by_id)
            ids_position = min(self._upstreams_position(), fleet_state.listed_up_to)
        return Progress(fleet_state.revision, fleet_state.rollout.order, ids_position)

    def _are_ids_due(self, ids_position):
        """Return whether a subscriber with the ids as of `ids_position` needs new ones.

        Without any it does. Later, ids are due only after a new listing, once it is
        completely applied.
        """
        position = self._upstreams_position()
        if ids_position is None:
            return position != UNKNOWN_POSITION
        listed_up_to = self._fleet_state.listed_up_to
        return ids_position != listed_up_to and position >= listed_up_to

    def _upstreams_position(self):
        return self._fleet_state.position_by_topic[Topic.UPSTREAMS]

    def _make_update(self, revision):
        """Return an Update, without usage, of everything changed since `revision`."""
        fleet_state = self._fleet_state
        update = Update(is_current=self._is_current(), sent_at=self._clock.now())
        update.coordinator = self._find_coordinator().name
        update.position_by_topic = {
            str(topic): position
            for topic, position in fleet_state.position_by_topic.items()
        }
        for topic in fleet_state.position_by_topic:
            age = fleet_state.age(topic)
            if age is not None:
                update.age_by_topic[str(topic)] = age
        absent_at = fleet_state.operator_absent_at
        if absent_at is not None:
            update.operator_absent_age = update.sent_at - absent_at
        update.cache_index_age = fleet_state.cache_index.age()
        update.records = fleet_state.changes_since(revision)
        update.cache_start = fleet_state.cache_index.start_of(update.records)
        return update


def _is_missing(record, hello):
    """Return whether a new subscriber lacks a record, according to its Hello."""
    if isinstance(record, Configuration):
        return record.version > hello.configuration_version
    topic = TOPIC_BY_TYPE.get(type(record))
    if topic is None:
        return True
    return record.offset >= hello.position_by_topic.get(topic, 0)
