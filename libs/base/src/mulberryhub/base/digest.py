"""Hash functions for API keys, prompt prefixes and rendezvous hashing."""

from hashlib import blake2b, sha256

from xxhash import xxh3_64_intdigest


def key_hash(secret):
    """Return the SHA-256 of a caller's or operator's key in hexadecimal."""
    return sha256(secret.encode()).hexdigest()


def chain_digest(parent, data):
    """Return the 16-byte digest of `data`, keyed with the digest `parent`.

    Both are bytes; BLAKE2b accepts at most 64 bytes as its key.
    """
    return blake2b(data, digest_size=16, key=parent[:64]).digest()


def rendezvous_score(seed, item):
    """Return the 64-bit rendezvous hash of `item` under `seed`, both bytes."""
    return xxh3_64_intdigest(seed + b"\0" + item)


def rendezvous_scores(seed, items):
    """Return the `rendezvous_score` of each of `items`."""
    prefix = seed + b"\0"
    return [xxh3_64_intdigest(prefix + item) for item in items]
