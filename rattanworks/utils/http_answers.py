"""Reads HTTP answers strictly, with http.client for the plumbing.

http.client skips or guesses at what it cannot read: lines of a head, lengths, sizes of
chunks. An answer that could be read in more than one way is refused here.
"""

import http.client
import re
from dataclasses import dataclass

from rattanworks.utils.answer_limits import AnswerReservation, collect

PIECE_BYTES = 64 * 1024
MAX_SHOWN_BYTES = 60
NO_CONTENT = 204
BODILESS_STATUSES = frozenset({NO_CONTENT, 304})
# A 1.0 answer has no chunks (RFC 9112, section 6.1).
OLD_VERSION = 10

STATUS_LINE = re.compile(rb"HTTP/1\.\d [1-9]\d\d(?: [^\r\n\0]*)?\r?\n")
FIELD_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n\0]*\r?\n")
SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n\0]*)?\r\n")
LENGTH = re.compile(r"\d{1,18}", re.ASCII)
CRLF = b"\r\n"
HEAD_ENDS = frozenset({CRLF, b"\n"})


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A whole HTTP response.

    ``is_first`` tells that no other was received on its connection before it.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    is_first: bool = False

    def header(self, name, default=""):
        """Return the value of a header, by its lower-case name."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return default


class HeadLines:
    """The file from which http.client reads an answer's head out of a Reader.

    Raise HTTPException at a line that http.client would skip or read in part.
    """

    def __init__(self, reader):
        self._reader = reader
        self._expected = STATUS_LINE

    def makefile(self, mode):
        """Return this object, which http.client takes for a socket too."""
        return self

    def readline(self, limit):
        """Return a line of the head; raise as Reader.readline does."""
        line = self._reader.readline(limit)
        if line in HEAD_ENDS and self._expected is FIELD_LINE:
            # The head of the answer itself follows that of an interim one.
            self._expected = STATUS_LINE
        elif line:
            require_match(self._expected, line)
            self._expected = FIELD_LINE
        return line

    def flush(self):
        """Do nothing: there is nothing to write."""

    def close(self):
        """Do nothing: the connection outlives its answers."""


def require_match(pattern, line):
    """Return the match of a whole line; raise HTTPException when there is none."""
    match = pattern.fullmatch(line)
    if match is None:
        raise http.client.HTTPException(f"malformed line {line[:MAX_SHOWN_BYTES]!r}")
    return match


def read_head(reader, method):
    """Return the http.client response whose head comes next.

    Raise HTTPException when the head is malformed or its body's end is ambiguous.
    """
    response = http.client.HTTPResponse(HeadLines(reader), method=method)
    response.begin()
    lengths = response.headers.get_all("Content-Length", [])
    encodings = response.headers.get_all("Transfer-Encoding", [])
    if len(lengths) + len(encodings) > 1:
        raise http.client.HTTPException("the answer's end is told more than once")
    if lengths and not LENGTH.fullmatch(lengths[0].strip(" \t")):
        raise http.client.HTTPException(f"the answer has the length {lengths[0]!r}")
    if encodings and not (response.chunked and response.version > OLD_VERSION):
        raise http.client.HTTPException(f"unknown encoding {encodings[0]!r}")
    has_body = bool(encodings) or any(int(length) for length in lengths)
    if response.status == NO_CONTENT and has_body:
        raise http.client.HTTPException("an answer without content announces a body")
    return response


def read_whole(reader, response, method, may_end_by_close, bounds, is_first=False):
    """Return the HttpAnswer of a response; raise HTTPException when it is cut.

    Raise as AnswerReservation.require does when the body exceeds ``bounds``.
    ``may_end_by_close`` is as in RequestOptions, ``is_first`` as in HttpAnswer.
    """
    reservation = AnswerReservation(bounds)
    reservation.require_allowed(response.length or 0)
    if method == "HEAD" or response.status in BODILESS_STATUSES:
        pieces = ()
    elif response.chunked:
        pieces = _read_chunks(reader)
    elif response.length is not None:
        pieces = _read_exactly(reader, response.length)
    elif may_end_by_close:
        pieces = _read_to_end(reader)
    else:
        raise http.client.HTTPException("the answer's end cannot be told from a cut")
    content = collect(pieces, reservation)
    return HttpAnswer(response.status, tuple(response.getheaders()), content, is_first)


def _read_chunks(reader):
    while size := int(require_match(SIZE_LINE, reader.readline())[1], 16):
        yield from _read_exactly(reader, size)
        if reader.read(len(CRLF)) != CRLF:
            raise http.client.HTTPException("a chunk does not end where it should")
    while (trailer := reader.readline()) != CRLF:
        require_match(FIELD_LINE, trailer)


def _read_exactly(reader, size):
    while size:
        piece = reader.read(min(size, PIECE_BYTES))
        if not piece:
            raise http.client.IncompleteRead(b"", size)
        size -= len(piece)
        yield piece


def _read_to_end(reader):
    while piece := reader.read(PIECE_BYTES):
        yield piece
