"""Typed messages over a connection between two routers.

Each message is a 4-byte length followed by MessagePack. A grpcio call takes 40 times
the CPU time of a send on such a connection; see docs/design/platform.md.
"""

import time
from math import inf

import msgspec

from mulberryhub.base.green import Semaphore
from mulberryhub.base.logs import error_text, module_logger
from mulberryhub.base.ranges import Number
from mulberryhub.fleet.admissions import Admitted
from mulberryhub.fleet.records import Observation, Record, Usage, Weights
from mulberryhub.fleet.rollout import Rollout
from mulberryhub.http.body_memory import BodyMemory
from mulberryhub.http.sockets import close, connect, receive
from mulberryhub.http.turns import RunTime, read_turns

LENGTH_BYTES = 4
MAX_MESSAGE_BYTES = 16_777_216
MAX_FIRST_MESSAGE_BYTES = 65_536  # of a router that has not said its name
MAX_MESSAGE_MS = 5_000  # from its first bytes to its last
# Incomplete messages of all connections together; three quarters of it for long ones.
MAX_INCOMPLETE_BYTES = 24_000_000
CONNECT_TIMEOUT_MS = 300
SEND_TIMEOUT_MS = 1_000

log = module_logger(__name__)
incomplete_messages = BodyMemory(MAX_INCOMPLETE_BYTES)


class ChannelError(Exception):
    """The other router is unreachable or sent an invalid message."""


class Hello(msgspec.Struct, tag=True):
    """Opens a subscription: the subscriber and the data that it already has.

    Without `wants_records`, the publisher sends only usage, rollouts and observations.
    """

    name: str
    data_centre: str
    wants_records: bool
    configuration_version: int = -1
    position_by_topic: dict[str, int] = {}


class Report(msgspec.Struct, tag=True):
    """Sent by a subscriber: its own usage, new observations and rollouts.

    `admitted_by_data_centre` is set in the first report: it holds all admissions
    known to the subscriber, and restores the state of a restarted publisher, as do
    `weights`, the named versions with their ages. Later reports have only the newest
    slots of the subscriber's own admissions. `unshared` are older ones of its own, of a
    time in which it heard no other router. `observations` are new ones, without those
    that the publisher sent. `sent_at` is in ms by the sender's clock; the report was
    sent after the update that the publisher sent at `answered_at`. Both are None in
    reports of earlier builds, and the latter before the first update, until when
    `weights` are not sent.
    """

    number: int
    use: Usage
    admitted_by_data_centre: dict[str, Admitted] = msgspec.field(
        default={}, name="remembered"
    )
    rollout: Rollout | None = None
    observations: list[Observation] = []
    weights: list[Weights] = []
    unshared: Admitted = Admitted()
    sent_at: int | None = None
    answered_at: int | None = None


class Update(msgspec.Struct, tag="News", omit_defaults=True):
    """Sent by a publisher: new records and their age.

    Observations are sent even if no records are wanted. Updates between two heartbeats
    carry changes only, without usage. `age_by_topic` and `cache_index_age` are in ms.
    `cache_start` is when the present start of the KV cache store was first read of
    (Unix ms, 0 if unknown), and its epoch; it is sent with parts. What has its default
    is not sent.
    `use` is the usage of the publisher's data centre, `remote_use` the total of the
    others. `admitted_by_data_centre` is what each other data centre admitted; to a
    subscriber in another data centre, the first update includes the admissions
    known for that data centre. Later updates have only the newest slots. `upstream_ids`
    lists all known upstreams, first and again after a listing, as records of removals
    do not go back that far. `is_current` is set if the publisher's own data is fresh.
    `coordinator` is the name of the router that the publisher asks for permits.
    `operator_absent_age` is how many ms ago the operator had certainly written nothing
    newer. `sent_at` is when ages were taken, in ms by the sender's clock, None in
    updates of earlier builds.
    """

    records: list[Record] = []
    position_by_topic: dict[str, int] = {}
    age_by_topic: dict[str, int] = {}
    upstream_ids: list[str] | None = None
    is_current: bool = msgspec.field(default=False, name="reads")
    cache_index_age: int | None = msgspec.field(default=None, name="kept_age")
    cache_start: tuple[Number, Number] | None = msgspec.field(
        default=None, name="kept_start"
    )
    use: Usage | None = None
    remote_use: Usage | None = msgspec.field(default=None, name="elsewhere")
    admitted_by_data_centre: dict[str, Admitted] = {}
    rollout: Rollout | None = None
    coordinator: str = ""
    operator_absent_age: int | None = None
    sent_at: int | None = None


class ReportAck(msgspec.Struct, tag="Counted"):
    """Sent by a publisher: the number of the report included in the next update.

    `sent_at` is in ms by its clock, None from earlier builds.
    """

    number: int
    sent_at: int | None = None


class PermitRequest(msgspec.Struct, tag=True):
    """Asks the coordinator for permits to send requests to an upstream.

    `rate` is the limit in requests/s of the incarnation `started`. `wanted` permits
    are for the flow `flow`, which shares the rate with others by `weight`.
    `unpermitted` requests were sent without a permit.
    """

    number: int
    upstream: str
    started: int
    rate: float
    flow: str
    weight: float
    wanted: int
    unpermitted: int = 0


class PermitGrant(msgspec.Struct, tag=True):
    """Answers the PermitRequest `number` with `count` permits.

    Without any, the router may ask again after `retry_after` ms.
    """

    number: int
    count: int
    retry_after: int


class QuotaRequest(msgspec.Struct, tag=True):
    """Asks the coordinator to admit `cost` of a workspace in place of the router."""

    number: int
    workspace: str
    cost: float


class QuotaGrant(msgspec.Struct, tag=True):
    """Answers the QuotaRequest `number`: the coordinator admitted `cost` of it.

    A cost of None means that the router does not lend at present.
    """

    number: int
    cost: float | None


CoordinatorRequest = PermitRequest | QuotaRequest
CoordinatorAnswer = PermitGrant | QuotaGrant
Message = Hello | Report | Update | ReportAck | CoordinatorRequest | CoordinatorAnswer


class RawUpdate(Update, tag="News"):
    """An Update whose records are not decoded."""

    records: list[msgspec.Raw] = []


class RawReport(Report, tag="Report"):
    """A Report whose observations are not decoded."""

    observations: list[msgspec.Raw] = []


_decoder = msgspec.msgpack.Decoder(Message)
_raw_decoder = msgspec.msgpack.Decoder(RawUpdate | RawReport)
_record_decoder = msgspec.msgpack.Decoder(Record)
_observation_decoder = msgspec.msgpack.Decoder(Observation)
_encoder = msgspec.msgpack.Encoder()


def encode(message):
    """Return the bytes of a message with its length prefix."""
    payload = _encoder.encode(message)
    return len(payload).to_bytes(LENGTH_BYTES) + payload


def decode(payload):
    """Return the message in `payload` without odd records; raise ChannelError."""
    try:
        return _decode_message(payload)
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        log.warning("invalid message", reason=str(error))
        raise ChannelError(f"invalid message: {error}") from error


def _decode_message(payload):
    try:
        return _decoder.decode(payload)
    except msgspec.ValidationError:
        return _decode_one_by_one(_raw_decoder.decode(payload))


def _decode_one_by_one(raw):
    """Return the Update or Report of a raw one, without its odd records."""
    fields = {name: getattr(raw, name) for name in raw.__struct_fields__}
    if isinstance(raw, RawUpdate):
        fields["records"] = _decode_good(raw.records, _record_decoder)
        return Update(**fields)
    fields["observations"] = _decode_good(raw.observations, _observation_decoder)
    return Report(**fields)


def _decode_good(raw_records, decoder):
    records = []
    for raw_record in raw_records:
        try:
            records.append(decoder.decode(raw_record))
        except msgspec.DecodeError as error:
            log.warning("odd record", reason=str(error))
    return records


class Channel:
    """Sends and receives messages over one socket."""

    __slots__ = ("_sock", "_buffer", "_send_lock", "_run_time")

    def __init__(self, sock):
        self._sock = sock
        self._buffer = bytearray()
        self._send_lock = Semaphore()
        self._run_time = RunTime()

    @classmethod
    def open(cls, address):
        """Connect to the router at `address`; raise ChannelError on failure."""
        try:
            return cls(connect(address, CONNECT_TIMEOUT_MS))
        except OSError as error:
            raise ChannelError(f"{address}: {error_text(error)}") from error

    def send(self, message):
        """Send a message; raise ChannelError on failure."""
        self.send_encoded(encode(message))

    def send_encoded(self, data):
        """Send encoded messages; raise ChannelError on failure."""
        with self._send_lock:
            try:
                self._sock.settimeout(SEND_TIMEOUT_MS / 1000)
                self._sock.sendall(data)
            except OSError as error:
                raise ChannelError(f"send failed: {error_text(error)}") from error

    def receive_first(self, timeout):
        """Like receive(), for a router that has not said its name."""
        return self.receive(timeout, MAX_FIRST_MESSAGE_BYTES)

    def receive(self, timeout=None, max_bytes=MAX_MESSAGE_BYTES):
        """Return the next message, of up to `max_bytes`; raise ChannelError on failure.

        Without any bytes for `timeout` ms, the connection counts as failed.
        """
        if self._run_time.is_used_up():
            read_turns.wait()
            self._run_time.restart()
        length = int.from_bytes(self._read_exactly(LENGTH_BYTES, timeout))
        if length > max_bytes:
            raise ChannelError(f"message of {length} bytes exceeds the limit")
        return decode(self._read_exactly(length, timeout))

    def close(self):
        """Close the connection, which ends a blocked `receive()`."""
        close(self._sock)

    def _read_exactly(self, count, timeout):
        """Return the next `count` bytes, of which MAX_MESSAGE_MS may pass in all."""
        reservation = incomplete_messages.new_reservation()
        deadline = inf
        try:
            while len(self._buffer) < count:
                if self._buffer and deadline == inf:
                    deadline = time.monotonic() + MAX_MESSAGE_MS / 1000
                self._receive_more(timeout, deadline)
                if not reservation.try_grow(min(count, len(self._buffer))):
                    raise ChannelError("incomplete messages use all of their memory")
        finally:
            reservation.release()
        with memoryview(self._buffer) as view:
            result = bytes(view[:count])
        del self._buffer[:count]
        return result

    def _receive_more(self, timeout, deadline):
        """Receive bytes until `deadline` (monotonic s); raise ChannelError."""
        began = time.monotonic()
        if began >= deadline:
            raise ChannelError(f"message took more than {MAX_MESSAGE_MS} ms")
        wait = deadline - began if timeout is None else timeout / 1000
        self._run_time.begin_wait()
        try:
            data = receive(self._sock, None if wait == inf else wait)
        except TimeoutError as error:
            raise ChannelError("silent") from error
        except OSError as error:
            raise ChannelError(f"receive failed: {error_text(error)}") from error
        self._run_time.end_wait((time.monotonic() - began) * 1000)
        if not data:
            raise ChannelError("closed")
        self._buffer += data
