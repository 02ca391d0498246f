"""Digests: keyed hashes for secrets and fast hashes for placement."""

from hashlib import blake2b, sha256

from xxhash import xxh3_64_intdigest


def key_hash(secret):
    """Return the SHA-256 of a caller's or operator's key in hexadecimal."""
    return sha256(secret.encode()).hexdigest()


def chain_digest(parent, data):
    """Return the 16-byte digest of `data` chained to the bytes `parent`."""
    return blake2b(data, digest_size=16, key=parent[:64]).digest()


def placement_score(seed, item):
    """Return a 64-bit rendezvous score of the bytes `item` under the bytes `seed`."""
    return xxh3_64_intdigest(seed + b"\0" + item)


def placement_scores(seed, items):
    """Return the rendezvous scores of all `items`, like placement_score."""
    prefix = seed + b"\0"
    return [xxh3_64_intdigest(prefix + item) for item in items]
