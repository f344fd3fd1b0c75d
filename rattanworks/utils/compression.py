"""Compression of content that nodes send each other."""

import functools
import struct
import zlib

from rattanworks.utils.codec import DecodeError

# Speed before size: most of the saving is in the repeated field names.
LEVEL = 1
CACHED_BLOBS = 64
# A window as small as most heads keeps what zlib allocates for each one small.
HEAD_WINDOW_BITS = 12
HEAD_MEMORY_LEVEL = 5
DICTIONARY_BYTES = 2**HEAD_WINDOW_BITS
# More than the largest request head that callers may send.
MAX_HEAD_BYTES = 1024 * 1024
HEAD_SIZE = struct.Struct("!I")


@functools.lru_cache(CACHED_BLOBS)
def compress(content):
    """Return bytes compressed; the same content is often asked for by many."""
    return zlib.compress(content, LEVEL)


def decompress(content, max_bytes):
    """Return the bytes that were compressed; raise DecodeError when there are more."""
    decompressor = zlib.decompressobj()
    try:
        restored = decompressor.decompress(content, max_bytes)
    except zlib.error as error:
        raise DecodeError(f"compressed content cannot be read: {error}") from error
    if not decompressor.eof:
        raise DecodeError(f"compressed content is cut or above {max_bytes} bytes")
    return restored


class SharedHeads:
    """Packs the heads of messages that go one way over one connection.

    A head is compressed with the one before as its dictionary: most of it, such
    as names and header fields, is the same each time. Both sides see the same
    heads in the same order, or the connection is of no more use.
    """

    def __init__(self):
        self._previous = b""

    def pack(self, head):
        """Return the packed head behind its size."""
        compressor = zlib.compressobj(
            LEVEL,
            zlib.DEFLATED,
            -HEAD_WINDOW_BITS,
            HEAD_MEMORY_LEVEL,
            zlib.Z_DEFAULT_STRATEGY,
            self._previous,
        )
        packed = compressor.compress(head) + compressor.flush()
        self._previous = head[-DICTIONARY_BYTES:]
        return HEAD_SIZE.pack(len(packed)) + packed

    def unpack(self, frame):
        """Return a frame's head and what follows it; raise DecodeError."""
        try:
            (size,) = HEAD_SIZE.unpack_from(frame)
            decompressor = zlib.decompressobj(-HEAD_WINDOW_BITS, self._previous)
            end = HEAD_SIZE.size + size
            head = decompressor.decompress(frame[HEAD_SIZE.size : end], MAX_HEAD_BYTES)
        except (struct.error, zlib.error) as error:
            raise DecodeError(f"a message's head cannot be read: {error}") from error
        if not decompressor.eof or end > len(frame):
            raise DecodeError(f"a head is cut or above {MAX_HEAD_BYTES} bytes")
        self._previous = head[-DICTIONARY_BYTES:]
        return head, frame[end:]
