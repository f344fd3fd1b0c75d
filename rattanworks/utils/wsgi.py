"""Small helpers for WSGI applications."""

import io
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import quote

from rattanworks.utils.codec import JSON_HEADERS, encode_json

VIEWED_BODY_BYTES = 64 * 1024
PATH_SAFE = "/:@!$&'()*+,;=~-._"
REASONS_BY_STATUS = {status.value: status.phrase for status in HTTPStatus}


@dataclass(frozen=True, slots=True)
class Response:
    """An HTTP response."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


def json_response(value, status=200):
    """Return a response that carries ``value`` as JSON."""
    return Response(status, encode_json(value), JSON_HEADERS)


def path_of(environ):
    """Return the request's path as text."""
    return environ["PATH_INFO"].encode("latin-1").decode("utf-8", "replace")


def target_of(environ):
    """Return the request's path and query as the caller sent them."""
    sent = environ.get("REQUEST_URI", "")
    if sent.startswith("/"):
        return sent
    query = environ.get("QUERY_STRING", "")
    path = quote(environ["PATH_INFO"].encode("latin-1"), safe=PATH_SAFE)
    return f"{path}?{query}" if query else path


def read_body(environ):
    """Return the whole request body."""
    return environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))


def body_of(environ):
    """Return the whole request body, a large one as a memoryview without a copy."""
    size = int(environ.get("CONTENT_LENGTH") or 0)
    stream = environ["wsgi.input"]
    if size > VIEWED_BODY_BYTES and isinstance(stream, io.BytesIO):
        return stream.getbuffer()[:size]
    return stream.read(size)


def headers_of(environ):
    """Return the request's headers as (name, value) pairs."""
    pairs = [
        (key[5:].replace("_", "-").title(), value)
        for key, value in environ.items()
        if key.startswith("HTTP_")
    ]
    if environ.get("CONTENT_TYPE"):
        pairs.append(("Content-Type", environ["CONTENT_TYPE"]))
    return tuple(pairs)


def respond(start_response, response):
    """Send a response and return the WSGI body."""
    headers = list(response.headers)
    if all(name.lower() != "content-length" for name, _ in headers):
        headers.append(("Content-Length", str(len(response.body))))
    start_response(_status_line(response), headers)
    return [response.body]


def encode_last_response(response):
    """Return the bytes of a response without a body, the last on its connection."""
    headers = (
        *response.headers,
        ("Content-Length", "0"),
        ("Connection", "close"),
    )
    lines = [f"HTTP/1.1 {_status_line(response)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def _status_line(response):
    reason = REASONS_BY_STATUS.get(response.status, "Unknown")
    return f"{response.status} {reason}"
