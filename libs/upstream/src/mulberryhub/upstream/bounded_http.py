"""HTTP connections whose responses are bounded in bytes, whatever is sent."""

from io import BufferedReader, RawIOBase

from mulberryhub.base.green import urllib3
from mulberryhub.upstream.response_heads import find_fault

HTTPConnection = urllib3.connection.HTTPConnection
HTTPException = urllib3.connection.HTTPException

MAX_HEAD_BYTES = 65_536
FIRST_FINAL_STATUS = 200


class ResponseTooLong(OSError):
    """A response exceeds the bytes that are read of it."""


class MalformedHead(HTTPException):
    """The head of a response is not one as HTTP requires."""


class BoundedSource(RawIOBase):
    """Unbuffered reader of at most `max_bytes` of `source`."""

    def __init__(self, source, max_bytes):
        self._source = source
        self._bytes_left = max_bytes

    def readable(self):
        """Return that the source can be read."""
        return True

    def readinto(self, buffer):
        """Read into `buffer` and return the byte count, 0 at the end.

        Raises ResponseTooLong once all bytes that may be read have been.
        """
        if not self._bytes_left:
            raise ResponseTooLong("the response is too long")
        count = self._source.readinto(memoryview(buffer)[: self._bytes_left])
        self._bytes_left -= count or 0
        return count

    def close(self):
        """Close the source."""
        self._source.close()
        super().close()


class BoundedResponse(HTTPConnection.response_class):
    """Response whose head and body have at most `max_bytes` in all.

    Interim responses, chunk sizes and trailers count as well.
    """

    def __init__(self, *arguments, max_bytes=MAX_HEAD_BYTES, **options):
        super().__init__(*arguments, **options)
        self.fp = BufferedReader(BoundedSource(self.fp.detach(), max_bytes))

    def begin(self):
        """Read the head of the response, and skip interim responses before it.

        Raises MalformedHead.
        """
        self._read_head()
        while self.status < FIRST_FINAL_STATUS:
            self.headers = None  # so that begin() reads the next head
            self._read_head()

    def _read_head(self):
        super().begin()
        fault = find_fault(self.status, self.headers)
        if fault is not None:
            raise MalformedHead(fault)
