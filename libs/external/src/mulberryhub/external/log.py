"""HTTP client of the platform's append-only log service."""

from base64 import b64encode

import msgspec

from mulberryhub.base.green import urllib3

CONNECT_TIMEOUT_MS = 2_000
READ_TIMEOUT_MS = 5_000
OFFSET_BEYOND_END = 2**53  # a read from here returns only the end of the stream


class LogUnavailable(Exception):
    """The log gave no usable response; an append may still have taken effect."""


class OffsetExpired(Exception):
    """The log does not have the requested records any more.

    `oldest` is the lowest offset that the log still has.
    """

    def __init__(self, oldest):
        super().__init__(f"records before offset {oldest} have expired")
        self.oldest = oldest


class LogRecord(msgspec.Struct, frozen=True):
    """A record; `time` is the Unix time in ms at which the log appended it."""

    offset: int
    time: int
    payload: bytes


class RecordPage(msgspec.Struct, frozen=True):
    """Records in offset order, with the range of offsets that the log has.

    `oldest` is the lowest available offset and `end` the offset of the next append.
    """

    records: list[LogRecord]
    oldest: int
    end: int


class AppendRequest(msgspec.Struct):
    """Request body of an append: payloads in base64."""

    payloads: list[str]


class AppendResponse(msgspec.Struct):
    """Response to an append: one offset per payload."""

    offsets: list[int]


class ExpiredResponse(msgspec.Struct):
    """Body of a response with status 410."""

    oldest: int


class LogClient:
    """Appends to and reads streams of the log service at `address` (host:port)."""

    __slots__ = ("_base_url", "_pool")

    def __init__(self, address):
        self._base_url = f"http://{address}"
        self._pool = urllib3.PoolManager(maxsize=8, retries=False)

    def append(self, stream, payloads, timeout=READ_TIMEOUT_MS):
        """Append `payloads` (bytes) in order and return their offsets.

        `timeout` is in ms. Raise LogUnavailable if there was no usable response; the
        append may still have taken effect.
        """
        encoded_payloads = [b64encode(payload).decode() for payload in payloads]
        body = msgspec.json.encode(AppendRequest(encoded_payloads))
        url = f"{self._base_url}/streams/{stream}/records"
        response = self._request("POST", url, timeout, body=body)
        return _decode(response, AppendResponse).offsets

    def read(self, stream, start, limit=500, wait=0, timeout=READ_TIMEOUT_MS):
        """Return a RecordPage with up to `limit` records from offset `start`.

        If there are none yet, the log delays its response by up to `wait` ms (long
        polling), which is added to `timeout` (ms). Raise OffsetExpired if `start` is
        older than the log's retention, or LogUnavailable.
        """
        url = (
            f"{self._base_url}/streams/{stream}/records"
            f"?start={start}&limit={limit}&wait={wait}"
        )
        response = self._request("GET", url, timeout + wait)
        return _decode(response, RecordPage)

    def end(self, stream):
        """Return the offset of the next append or raise LogUnavailable."""
        return self.read(stream, OFFSET_BEYOND_END, 1).end

    def _request(self, method, url, timeout, body=None):
        timeouts = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_MS, timeout) / 1000, read=timeout / 1000
        )
        try:
            response = self._pool.request(method, url, body=body, timeout=timeouts)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise LogUnavailable(str(error)) from error
        if response.status == 410:
            raise OffsetExpired(_decode(response, ExpiredResponse).oldest)
        if response.status != 200:
            raise LogUnavailable(f"the log responded with status {response.status}")
        return response


def _decode(response, type_):
    try:
        return msgspec.json.decode(response.data, type=type_)
    except msgspec.DecodeError as error:
        raise LogUnavailable(f"cannot decode the response: {error}") from error
