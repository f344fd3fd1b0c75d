"""Structured logs: one line of key=value pairs for each event."""

import atexit
import sys
import threading
import time
from collections import Counter, deque

import eliot

from rattanworks.utils.backoff import TokenBucket
from rattanworks.utils.codec import decode_json, encode_json

# Lines that may wait for a slow reader; about 2 MB.
MAX_QUEUED_LINES = 4096
# For each event name: enough to read, and cheap beside the calls themselves.
LINES_PER_SECOND = 50.0
LINES_PER_SECOND_BY_EVENT = {"call-answered": 40.0, "call-failed": 100.0}
BURST_SECONDS = 4.0
FLUSH_SECONDS = 1.0
# Lines are collected for this time before they are written: each wake-up of the
# writing thread takes the interpreter lock from the threads that serve.
BATCH_SECONDS = 0.05

_HIDDEN_FIELDS = frozenset({"timestamp", "task_uuid", "task_level", "message_type"})
_QUOTE_NEEDED = frozenset(' ="\n\r\t\\')


def _render_value(value):
    text = value if isinstance(value, str) else encode_json(value).decode()
    if text and not _QUOTE_NEEDED.intersection(text):
        return text
    return encode_json(text).decode()


def render_line(message):
    """Return an eliot message as one line of key=value pairs."""
    event = _event_of(message)
    pairs = [f"time={message['timestamp']:.3f}", f"event={_render_value(event)}"]
    pairs += [
        f"{key}={_render_value(value)}"
        for key, value in message.items()
        if key not in _HIDDEN_FIELDS
    ]
    return " ".join(pairs)


class LineDestination:
    """Eliot destination that writes each event as one line, on its own thread.

    Logging never waits for the stream. Each event name has its own limit of lines
    a second, so that a flood of one does not displace the others. Lines over the
    limit, or that find the queue full, are counted and reported later in a
    ``lines-dropped`` event.
    """

    def __init__(self, stream, context, clock=None):
        self._stream = stream
        self._context = context
        self._clock = clock or _MonotonicClock()
        self._changed = threading.Condition()
        self._messages = deque()
        self._buckets_by_event = {}
        self._dropped_by_event = Counter()
        self._is_writing = False
        self._flush_wanted = threading.Event()
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def __call__(self, message):
        """Queue one event."""
        event = _event_of(message)
        with self._changed:
            is_full = len(self._messages) >= MAX_QUEUED_LINES
            if is_full or not self._bucket(event).take():
                self._dropped_by_event[event] += 1
                return
            self._messages.append(message)
            dropped = self._dropped_by_event.pop(event, 0)
            if dropped:
                self._messages.append(
                    {
                        "timestamp": message["timestamp"],
                        "message_type": "lines-dropped",
                        "dropped_event": event,
                        "count": dropped,
                    }
                )
            if len(self._messages) == 1 + bool(dropped):
                self._changed.notify_all()

    def _bucket(self, event):
        bucket = self._buckets_by_event.get(event)
        if bucket is None:
            rate = LINES_PER_SECOND_BY_EVENT.get(event, LINES_PER_SECOND)
            bucket = TokenBucket(rate, rate * BURST_SECONDS, self._clock)
            self._buckets_by_event[event] = bucket
        return bucket

    def _run(self):
        while True:
            with self._changed:
                while not self._messages:
                    self._changed.wait()
            self._flush_wanted.wait(BATCH_SECONDS)
            with self._changed:
                messages, self._messages = self._messages, deque()
                self._is_writing = True
            self._write(messages)
            with self._changed:
                self._is_writing = False
                self._changed.notify_all()

    def _write(self, messages):
        lines = [render_line({**message, **self._context}) for message in messages]
        try:
            self._stream.write("\n".join(lines) + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            # The reader of the log has closed it; the node goes on without a log.
            return

    def flush(self, timeout):
        """Wait up to ``timeout`` seconds; return whether all lines were written."""
        self._flush_wanted.set()
        try:
            with self._changed:
                return self._changed.wait_for(
                    lambda: not self._messages and not self._is_writing, timeout
                )
        finally:
            self._flush_wanted.clear()


class _MonotonicClock:
    def monotonic(self):
        return time.monotonic()


def _event_of(message):
    return message.get("message_type") or message.get("action_type", "event")


_destinations = []
_logger = eliot.Logger()


def configure_logging(stream=None, **context):
    """Send every event to ``stream`` (default: standard error) with ``context``."""
    destination = LineDestination(stream or sys.stderr, context)
    eliot.add_destinations(destination)
    _destinations.append(destination)
    atexit.register(destination.flush, FLUSH_SECONDS)


def flush_log(timeout):
    """Wait up to ``timeout`` seconds per destination until queued lines are written."""
    for destination in _destinations:
        destination.flush(timeout)


def log_event(event, **fields):
    """Log one event with its fields."""
    # Outside of eliot's actions, whose ids are not part of a line.
    _logger.write({"message_type": event, "timestamp": time.time(), **fields})


def parse_line(line):
    """Parse a line of render_line into a dictionary of its fields."""
    fields = {}
    rest = line.strip()
    while rest:
        key, _, rest = rest.partition("=")
        if rest.startswith('"'):
            end = _closing_quote(rest)
            value = decode_json(rest[: end + 1].encode(), str)
            rest = rest[end + 1 :].lstrip()
        else:
            value, _, rest = rest.partition(" ")
        fields[key] = value
    return fields


def _closing_quote(text):
    position = 1
    while text[position] != '"':
        position += 2 if text[position] == "\\" else 1
    return position
