"""Records of the claim streams, as stored in the platform's log."""

import msgspec


class Claim(msgspec.Struct, frozen=True, tag="c"):
    """A router's request to send the call with this key.

    `key` is the digest of the key in its scope and `fingerprint` that of the
    request. `nonce` is random and identifies this claim. `key_time` is the key's
    creation time in ms since the Unix epoch, NO_CREATION_TIME where it has none.
    """

    key: bytes
    nonce: bytes
    key_time: int
    fingerprint: bytes


class Release(msgspec.Struct, frozen=True, tag="r"):
    """Withdraws the claim with this nonce: its call was not sent and never will be."""

    key: bytes
    nonce: bytes


class Result(msgspec.Struct, frozen=True, tag="o"):
    """The upstream's answer to the call that was sent under this claim.

    `status` is the HTTP status, 0 where no answer came. `body` is None where it was
    too long to be stored.
    """

    key: bytes
    nonce: bytes
    status: int
    headers: list[tuple[str, str]] = []
    body: bytes | None = None


class Heartbeat(msgspec.Struct, frozen=True, tag="m"):
    """Bounds the age of the newest record in an idle stream; concerns no key."""


ClaimRecord = Claim | Release | Result | Heartbeat

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(ClaimRecord)


def encode_record(record):
    """Return the payload of a record."""
    return _encoder.encode(record)


def decode_record(payload):
    """Return the record in a payload, or a Heartbeat where it cannot be decoded."""
    try:
        return _decoder.decode(payload)
    except msgspec.DecodeError:
        return Heartbeat()
