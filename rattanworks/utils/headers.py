"""Which HTTP headers a hop forwards, in each direction."""

HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Each hop sets these itself.
SET_BY_HOPS = frozenset({"content-length", "date", "expect", "host"})
# Set by this system alone: values from callers or backend servers are dropped.
OWN_REQUEST_HEADERS = frozenset(
    {
        "x-customer",
        "x-not-run",
        "x-request-id",
        "x-request-outcome",
        "x-request-timeout",
    }
)
OWN_ANSWER_HEADERS = frozenset({"x-not-run", "x-request-id", "x-request-outcome"})
OWN_PREFIX = "rattanworks-"
DROPPED_FROM_REQUESTS = HOP_HEADERS | SET_BY_HOPS | OWN_REQUEST_HEADERS
DROPPED_FROM_ANSWERS = HOP_HEADERS | SET_BY_HOPS | OWN_ANSWER_HEADERS


def request_headers(headers):
    """Return the caller's headers that are forwarded to the backend server."""
    return _without(headers, _with_connection_tokens(DROPPED_FROM_REQUESTS, headers))


def answer_headers(headers, is_head=False):
    """Return the backend server's headers that are forwarded to the caller.

    The Content-Length of an answer to HEAD is kept: it describes a body that is
    not sent.
    """
    dropped = _with_connection_tokens(DROPPED_FROM_ANSWERS, headers)
    if is_head:
        dropped = dropped - {"content-length"}
    return _without(headers, dropped)


def _with_connection_tokens(dropped, headers):
    # The Connection header lists further headers that end at this hop.
    for name, value in headers:
        if name.lower() == "connection":
            dropped = dropped | {token.strip().lower() for token in value.split(",")}
    return dropped


def _without(headers, dropped):
    return tuple(
        (name, value)
        for name, value in headers
        if (lowered := name.lower()) not in dropped
        and not lowered.startswith(OWN_PREFIX)
    )
