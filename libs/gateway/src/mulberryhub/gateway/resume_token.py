"""Resume tokens: the ids of events, from which any router can go on with a stream.

A token names the engine, its incarnation, the stream, the workspace and the
position, and ends with a keyed digest. What stays the same for a stream is
digested once, so that a token costs one short update.
"""

from base64 import urlsafe_b64decode, urlsafe_b64encode
from hashlib import blake2b
from hmac import compare_digest

import msgspec

from mulberryhub.base.errors import Code, HubError

MAC_SIZE = 12  # bytes


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """Where a stream runs and for whom; `request_id` is the one sent upstream."""

    workspace: str
    engine: str
    incarnation: str
    request_id: str


class ResumePoint(msgspec.Struct, frozen=True):
    """A stream with the number of tokens that the caller has got."""

    origin: StreamOrigin
    position: int


class TokenSeries:
    """The tokens of one stream."""

    __slots__ = ("_prefix", "_state")

    def __init__(self, key, origin):
        self._prefix = urlsafe_b64encode(msgspec.msgpack.encode(origin)).decode() + "."
        self._state = blake2b(self._prefix.encode(), digest_size=MAC_SIZE, key=key)

    def token(self, position):
        """Return the token for a caller that has got `position` tokens."""
        text = f"{position}."
        state = self._state.copy()
        state.update(text.encode())
        return f"{self._prefix}{text}{state.hexdigest()}"


class TokenSigner:
    """Makes and checks resume tokens with a secret that all routers share."""

    __slots__ = ("_key",)

    def __init__(self, token_key):
        self._key = blake2b(token_key.encode(), digest_size=32).digest()

    def series(self, origin):
        """Return the tokens of the stream of `origin`."""
        return TokenSeries(self._key, origin)

    def check(self, token, workspace):
        """Return the ResumePoint of `token` or raise HubError.

        The token must be signed and belong to `workspace`.
        """
        try:
            prefix, position, _ = token.split(".")
            data = urlsafe_b64decode(prefix.encode())
            origin = msgspec.msgpack.decode(data, type=StreamOrigin)
            expected = self.series(origin).token(int(position))
        except (ValueError, msgspec.DecodeError) as error:
            raise _refusal() from error
        if not compare_digest(expected.encode(), token.encode()):
            raise _refusal()
        if origin.workspace != workspace:
            raise _refusal()
        return ResumePoint(origin, int(position))


def _refusal():
    return HubError(Code.BAD_RESUME_TOKEN, "the resume token is not valid")
