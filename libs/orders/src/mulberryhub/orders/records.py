"""Records of the claim streams, as they are kept in the platform's log."""

import msgspec


class Claim(msgspec.Struct, frozen=True, tag="c"):
    """A router asks to send the call with this key.

    `key` and `fingerprint` are digests, `nonce` names this attempt and
    `key_time` is the creation time of the key in ms since the Unix epoch.
    """

    key: bytes
    nonce: bytes
    key_time: int
    fingerprint: bytes


class Release(msgspec.Struct, frozen=True, tag="r"):
    """The claim with this nonce sent nothing and never will."""

    key: bytes
    nonce: bytes


class Result(msgspec.Struct, frozen=True, tag="o"):
    """What the upstream answered to the call that was sent under this claim.

    `status` is 0 where no answer came. `body` is None where it was too long to
    be kept.
    """

    key: bytes
    nonce: bytes
    status: int
    headers: list[tuple[str, str]] = []
    body: bytes | None = None


class Mark(msgspec.Struct, frozen=True, tag="m"):
    """Shows the age of what a quiet stream still keeps; says nothing on any key."""


ClaimRecord = Claim | Release | Result | Mark

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(ClaimRecord)


def encode_record(record):
    """Return the payload of a record."""
    return _encoder.encode(record)


def decode_record(payload):
    """Return the record in a payload, or a Mark for one that cannot be read."""
    try:
        return _decoder.decode(payload)
    except msgspec.DecodeError:
        return Mark()
