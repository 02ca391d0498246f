"""Signed resume tokens, which clients present to resume a stream on any router.

A resume token is the id of a server-sent event. It encodes the workspace, the
engine, the engine's incarnation, the id of the engine request and the position in the
stream, followed by a keyed digest. The part that is constant for a stream is hashed
only once, so that each token costs one short hash update.
"""

from base64 import urlsafe_b64decode, urlsafe_b64encode
from hashlib import blake2b
from hmac import compare_digest

import msgspec

from mulberryhub.base.errors import ApiError, ErrorCode

DIGEST_BYTES = 12


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """Identifies a stream: its workspace, its engine and the id of the engine request.

    `incarnation` identifies one run of the engine process.
    """

    workspace: str
    engine: str
    incarnation: str
    request_id: str


class ResumePoint(msgspec.Struct, frozen=True):
    """A stream and the number of its tokens that the client has received."""

    origin: StreamOrigin
    position: int


class ResumeTokens:
    """Generates the resume tokens of one stream."""

    __slots__ = ("_prefix", "_prefix_hash")

    def __init__(self, key, origin):
        self._prefix = urlsafe_b64encode(msgspec.msgpack.encode(origin)).decode() + "."
        self._prefix_hash = blake2b(
            self._prefix.encode(), digest_size=DIGEST_BYTES, key=key
        )

    def token(self, position):
        """Return the token for a client that has received `position` output tokens."""
        suffix = f"{position}."
        token_hash = self._prefix_hash.copy()
        token_hash.update(suffix.encode())
        return f"{self._prefix}{suffix}{token_hash.hexdigest()}"


class ResumeTokenSigner:
    """Generates and verifies resume tokens.

    `token_key` is a secret that all routers share.
    """

    __slots__ = ("_key",)

    def __init__(self, token_key):
        self._key = blake2b(token_key.encode(), digest_size=32).digest()

    def tokens_of(self, origin):
        """Return the ResumeTokens of the stream with the StreamOrigin `origin`."""
        return ResumeTokens(self._key, origin)

    def verify(self, token, workspace_id):
        """Return the ResumePoint encoded in `token`.

        Raise ApiError if the token is malformed, its digest is wrong or it belongs
        to another workspace.
        """
        try:
            prefix, position, _ = token.split(".")
            data = urlsafe_b64decode(prefix.encode())
            origin = msgspec.msgpack.decode(data, type=StreamOrigin)
            expected = self.tokens_of(origin).token(int(position))
        except (ValueError, msgspec.DecodeError) as error:
            raise _invalid_token_error() from error
        if not compare_digest(expected.encode(), token.encode()):
            raise _invalid_token_error()
        if origin.workspace != workspace_id:
            raise _invalid_token_error()
        return ResumePoint(origin, int(position))


def _invalid_token_error():
    return ApiError(ErrorCode.BAD_RESUME_TOKEN, "the resume token is not valid")
