"""Compression of content that nodes send each other."""

import functools
import struct
import zlib

from rattanworks.utils.codec import DecodeError

# The fastest level: most of the saving comes from repeated field names.
COMPRESSION_LEVEL = 1
CACHED_BLOBS = 64
# A window as small as most heads limits what zlib allocates for each head.
HEAD_WINDOW_BITS = 12
HEAD_MEMORY_LEVEL = 5
DICTIONARY_BYTES = 2**HEAD_WINDOW_BITS
# More than the largest request head that callers may send.
MAX_HEAD_BYTES = 1024 * 1024
HEAD_SIZE = struct.Struct("!I")


@functools.lru_cache(CACHED_BLOBS)
def compress(content):
    """Compress bytes; cached, since many nodes often request the same content."""
    return zlib.compress(content, COMPRESSION_LEVEL)


def decompress(content, max_bytes):
    """Decompress bytes; raise DecodeError if corrupt or above ``max_bytes``."""
    decompressor = zlib.decompressobj()
    try:
        restored = decompressor.decompress(content, max_bytes)
    except zlib.error as error:
        raise DecodeError(f"compressed content cannot be read: {error}") from error
    if not decompressor.eof:
        raise DecodeError(f"compressed content is cut or above {max_bytes} bytes")
    return restored


class HeadCodec:
    """Compresses the heads of messages in one direction of a connection.

    Each head is compressed with the previous one as its preset dictionary, since
    most of it, such as names and header fields, repeats. Both sides must process
    the same heads in the same order; otherwise the connection is unusable.
    """

    def __init__(self):
        self._previous = b""

    def pack(self, head):
        """Return the compressed head, prefixed with its size."""
        compressor = zlib.compressobj(
            COMPRESSION_LEVEL,
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
        """Return a frame's head and the bytes that follow it; raise DecodeError."""
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
