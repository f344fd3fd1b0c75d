"""Hashes that make up order-independent digests of tables and their buckets."""

import functools
import hashlib

DIGEST_BYTES = 8
BUCKETS = 64
NAME_CACHE_SIZE = 8192


def hash_of(text):
    """Return a 64-bit hash of a text."""
    content = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(content, "big")


def digest_of(name, precedence):
    """Return a 64-bit hash of a row's name and precedence."""
    return hash_of(f"{name}|{','.join(str(int(part)) for part in precedence)}")


def hash_fraction(text):
    """Return a number in [0, 1) that is the same for the same text."""
    return hash_of(text) / 2 ** (8 * DIGEST_BYTES)


@functools.lru_cache(NAME_CACHE_SIZE)
def bucket_of(name):
    """Return the bucket, 0 to BUCKETS - 1, whose digest covers the row ``name``."""
    return hash_of(name) % BUCKETS


def combined_digest(*digests):
    """Return one 64-bit hash of several digests; their order matters."""
    return hash_of("|".join(str(digest) for digest in digests))
