"""Hashes that make up order-independent digests of tables and their buckets."""

import functools
import hashlib

DIGEST_BYTES = 8
BUCKETS = 64
NAME_CACHE_SIZE = 8192


def _hash(text):
    content = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(content, "big")


def digest_of(name, precedence):
    """Return a 64-bit hash of a row's name and precedence."""
    return _hash(f"{name}|{','.join(str(int(part)) for part in precedence)}")


@functools.lru_cache(NAME_CACHE_SIZE)
def bucket_of(name):
    """Return the bucket, 0 to BUCKETS - 1, whose digest covers the row ``name``."""
    return _hash(name) % BUCKETS


def combined_digest(*digests):
    """Return one 64-bit hash of several digests; their order matters."""
    return _hash("|".join(str(digest) for digest in digests))
