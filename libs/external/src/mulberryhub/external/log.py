"""Client of the platform's append-only log service."""

from base64 import b64encode

import msgspec

from mulberryhub.base.green import urllib3

CONNECT_TIMEOUT = 2_000  # ms
READ_TIMEOUT = 5_000  # ms


class LogUnavailable(Exception):
    """The log gave no answer; an append may or may not have taken effect."""


class OffsetExpired(Exception):
    """The records asked for are past the log's retention.

    `oldest` is the lowest offset that the log still keeps.
    """

    def __init__(self, oldest):
        super().__init__(f"records before offset {oldest} have expired")
        self.oldest = oldest


class Record(msgspec.Struct, frozen=True):
    """One record: its offset, the log's wall time in ms, and its payload."""

    offset: int
    time: int
    payload: bytes


class Page(msgspec.Struct, frozen=True):
    """Records in offset order, with the bounds of what the log holds.

    `oldest` is the lowest offset kept and `end` the offset of the next append.
    """

    records: list[Record]
    oldest: int
    end: int


class AppendRequest(msgspec.Struct):
    """Body of an append: payloads in base64."""

    payloads: list[str]


class AppendAnswer(msgspec.Struct):
    """Answer to an append: one offset per payload."""

    offsets: list[int]


class Expired(msgspec.Struct):
    """Body of a 410 answer."""

    oldest: int


class LogClient:
    """Appends to and reads from streams of the log at `address` (host:port)."""

    __slots__ = ("_base", "_pool")

    def __init__(self, address):
        self._base = f"http://{address}"
        self._pool = urllib3.PoolManager(maxsize=8, retries=False)

    def append(self, stream, payloads, timeout=READ_TIMEOUT):
        """Append `payloads` (bytes) in order and return their offsets.

        Raise LogUnavailable when no answer came: the append may have happened.
        """
        texts = [b64encode(payload).decode() for payload in payloads]
        body = msgspec.json.encode(AppendRequest(texts))
        url = f"{self._base}/streams/{stream}/records"
        answer = self._request("POST", url, timeout, body=body)
        return _decode(answer, AppendAnswer).offsets

    def read(self, stream, start, limit=500, wait=0, timeout=READ_TIMEOUT):
        """Return a page of records from offset `start`.

        When there are none yet, the log holds the request for up to `wait` ms.
        Raise OffsetExpired or LogUnavailable.
        """
        url = (
            f"{self._base}/streams/{stream}/records"
            f"?start={start}&limit={limit}&wait={wait}"
        )
        answer = self._request("GET", url, timeout + wait)
        return _decode(answer, Page)

    def _request(self, method, url, timeout, body=None):
        limits = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT, timeout) / 1000, read=timeout / 1000
        )
        try:
            answer = self._pool.request(method, url, body=body, timeout=limits)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise LogUnavailable(str(error)) from error
        if answer.status == 410:
            raise OffsetExpired(_decode(answer, Expired).oldest)
        if answer.status != 200:
            raise LogUnavailable(f"the log answered with status {answer.status}")
        return answer


def _decode(answer, type_):
    try:
        return msgspec.json.decode(answer.data, type=type_)
    except msgspec.DecodeError as error:
        raise LogUnavailable(f"unreadable answer: {error}") from error
