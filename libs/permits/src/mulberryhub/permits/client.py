"""Sends requests to the coordinator over one connection."""

from itertools import count

import msgspec

from mulberryhub.base.green import Event, Semaphore, Timeout
from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_task
from mulberryhub.fleet.channel import Channel, ChannelError, CoordinatorAnswer

ANSWER_TIMEOUT_MS = 150
RECONNECT_DELAY_MS = 500

log = module_logger(__name__)


class CoordinatorConnection:
    """A connection to the router `member` for requests to the coordinator."""

    __slots__ = ("member", "is_closed", "_channel", "_numbers", "_events_by_number")

    def __init__(self, member):
        self.member = member
        self.is_closed = False
        self._channel = Channel.open(member.address)
        self._numbers = count(1)
        self._events_by_number = {}
        spawn_task(self._receive_answers)

    def ask(self, request):
        """Return the CoordinatorAnswer to `request`, or None if it is late."""
        number = next(self._numbers)
        event = self._events_by_number[number] = Event()
        try:
            self._channel.send(msgspec.structs.replace(request, number=number))
            with Timeout(ANSWER_TIMEOUT_MS / 1_000, False):
                return event.wait()
            return None
        finally:
            del self._events_by_number[number]

    def close(self):
        """Close the connection."""
        self.is_closed = True
        self._channel.close()

    def _receive_answers(self):
        try:
            while True:
                answer = self._channel.receive()
                if not isinstance(answer, CoordinatorAnswer):
                    raise ChannelError("message is not an answer of a coordinator")
                event = self._events_by_number.get(answer.number)
                if event is not None and not event.ready():
                    event.send(answer)
        except ChannelError as error:
            if not self.is_closed:
                log.info("coordinator lost", member=self.member.name, reason=str(error))
        finally:
            self.close()


class CoordinatorClient:
    """Sends requests to the coordinator, which may be this router itself.

    `find_coordinator()` returns its Member. `coordinate(request)` returns the
    CoordinatorAnswer of this router, whose name is `name`.
    """

    __slots__ = (
        "_name",
        "_find_coordinator",
        "_coordinate",
        "_clock",
        "_connection",
        "_connect_at",
        "_connect_lock",
    )

    def __init__(self, name, find_coordinator, coordinate, clock):
        self._name = name
        self._find_coordinator = find_coordinator
        self._coordinate = coordinate
        self._clock = clock
        self._connection = None
        self._connect_at = 0
        self._connect_lock = Semaphore()

    def ask(self, request):
        """Return the CoordinatorAnswer to `request`, or None if there is none."""
        member = self._find_coordinator()
        if member.name == self._name:
            return self._coordinate(request)
        try:
            connection = self._connection_to(member)
            return None if connection is None else connection.ask(request)
        except ChannelError as error:
            log.info(
                "coordinator does not answer", member=member.name, reason=str(error)
            )
            self._connect_at = self._clock.now() + RECONNECT_DELAY_MS
            return None

    def _connection_to(self, member):
        """Return an open connection to `member`, or None after a recent failure."""
        with self._connect_lock:
            connection = self._connection
            if connection is not None and connection.member.is_same(member):
                if not connection.is_closed:
                    return connection
            elif connection is not None:
                connection.close()
            if self._clock.now() < self._connect_at:
                return None
            self._connection = CoordinatorConnection(member)
            return self._connection
