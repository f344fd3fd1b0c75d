"""Links to neighbours, which carry updates and, while there are none, heartbeats."""

import random
import threading
import time

from rattanworks.utils.tasks import run_guarded

URGENT_BATCH_SECONDS = 0.02
NORMAL_BATCH_SECONDS = 0.15
# Between two messages with updates on a link: news in a row share messages.
SPACING_SECONDS = 0.1
NEVER = float("inf")
MAX_ROWS_IN_MESSAGE = 256
JITTER = (0.85, 1.15)
FAILURES_PER_SLOWDOWN = 10
MAX_SLOWDOWN = 5
# Updates postpone heartbeats, which also compare versions and tables, by so many
# intervals at most.
MAX_POSTPONED_INTERVALS = 3


class PendingUpdates:
    """What was not yet sent to a neighbour.

    Rows by name, the keys of crash reports, and whether the head is to be sent.
    """

    def __init__(self):
        self.records = {}
        self.services = {}
        self.crash_keys = {}
        self.has_head = False

    def __bool__(self):
        """Return whether there is anything to send."""
        return bool(self.records or self.services or self.crash_keys or self.has_head)

    def take_batch(self):
        """Remove the content of one message and return it."""
        batch = PendingUpdates()
        batch.has_head, self.has_head = self.has_head, False
        batch.records = _take_rows(self.records)
        batch.services = _take_rows(self.services)
        batch.crash_keys = _take_rows(self.crash_keys)
        return batch


def _take_rows(rows):
    names = list(rows)[:MAX_ROWS_IN_MESSAGE]
    return {name: rows.pop(name) for name in names}


class PeerLink:
    """Sends updates and heartbeats to one neighbour, on a thread of its own.

    ``exchange`` has ``send_updates(record, updates)`` and
    ``send_heartbeat(record)``, which return whether the neighbour answered.
    Heartbeats to a neighbour that does not answer are sent less often. A message
    from either side postpones the other side's heartbeat, so that one exchange
    serves both, but not for longer than MAX_POSTPONED_INTERVALS.
    """

    def __init__(self, record, exchange, heartbeat_seconds, rng=None):
        self.record = record
        self._exchange = exchange
        self._heartbeat_seconds = heartbeat_seconds
        self._random = rng or random.Random()
        self._changed = threading.Condition()
        self._pending = PendingUpdates()
        self._is_closed = False
        self._is_sending = False
        self._failures = 0
        self._heartbeat_due = time.monotonic()
        self._heartbeat_sent_at = time.monotonic()
        self._pending_due = NEVER
        self._sent_at = -NEVER
        self._thread = threading.Thread(
            target=self._run, name=f"link-{record.node}", daemon=True
        )

    def start(self):
        """Start the thread that sends."""
        self._thread.start()

    def close(self):
        """End the thread after one attempt to send what is queued."""
        with self._changed:
            self._is_closed = True
            self._changed.notify_all()

    def offer(
        self, records=(), services=(), crash_keys=(), has_head=False, is_urgent=True
    ):
        """Queue rows, crash reports and, if set, the head for the neighbour.

        Urgent updates are sent sooner; others wait longer, so that more of them
        share one message. Load pattern: many nodes start or leave at once, and each
        link gets news of every one of them.
        """
        delay = URGENT_BATCH_SECONDS if is_urgent else NORMAL_BATCH_SECONDS
        with self._changed:
            due = max(time.monotonic() + delay, self._sent_at + SPACING_SECONDS)
            self._pending_due = min(self._pending_due, due)
            for row in records:
                _keep_newest(self._pending.records, row.node, row)
            for row in services:
                _keep_newest(self._pending.services, row.service, row)
            self._pending.crash_keys.update(dict.fromkeys(crash_keys))
            self._pending.has_head |= has_head
            self._changed.notify_all()

    def discard(self, records, services, crashes=()):
        """Drop what is queued and was sent by the neighbour itself."""
        with self._changed:
            _drop(self._pending.records, [(row.node, row) for row in records])
            _drop(self._pending.services, [(row.service, row) for row in services])
            for report in crashes:
                self._pending.crash_keys.pop(report.key, None)

    def record_contact(self):
        """Postpone the next heartbeat: the neighbour has just sent a message."""
        self._schedule_heartbeat(1)

    def _schedule_heartbeat(self, slowdown):
        seconds = self._heartbeat_seconds * slowdown
        self._heartbeat_due = time.monotonic() + seconds * self._random.uniform(*JITTER)

    def wait_until_sent(self, deadline):
        """Wait until nothing is queued or being sent; return whether that is so.

        ``deadline`` is in monotonic seconds.
        """
        with self._changed:
            self._pending_due = 0.0
            self._changed.notify_all()
            return self._changed.wait_for(
                lambda: not self._pending and not self._is_sending,
                max(0.0, deadline - time.monotonic()),
            )

    def _run(self):
        while self._wait_until_due():
            run_guarded(self._thread.name, self._send)
        with self._changed:
            self._is_sending = False
            self._changed.notify_all()

    def _wait_until_due(self):
        with self._changed:
            self._is_sending = False
            self._changed.notify_all()
            while not self._is_closed:
                due = (
                    min(self._heartbeat_due, self._pending_due)
                    if self._pending
                    else self._heartbeat_due
                )
                remaining = due - time.monotonic()
                if remaining <= 0:
                    break
                self._changed.wait(remaining)
            self._is_sending = bool(self._pending)
            return not self._is_closed or bool(self._pending)

    def _send(self):
        self._schedule_heartbeat(1)
        with self._changed:
            batch = self._pending.take_batch()
            self._pending_due = 0.0 if self._pending else NEVER
            if batch:
                self._sent_at = time.monotonic()
        is_answered = not batch or self._exchange.send_updates(self.record, batch)
        if not batch or (is_answered and self._is_heartbeat_overdue()):
            self._heartbeat_sent_at = time.monotonic()
            is_answered = self._exchange.send_heartbeat(self.record)
        self._failures = 0 if is_answered else self._failures + 1
        self._schedule_heartbeat(
            min(MAX_SLOWDOWN, 1 + self._failures // FAILURES_PER_SLOWDOWN)
        )

    def _is_heartbeat_overdue(self):
        longest = MAX_POSTPONED_INTERVALS * self._heartbeat_seconds
        return time.monotonic() - self._heartbeat_sent_at >= longest


def _keep_newest(queued, name, row):
    # Threads that merge concurrently may offer their rows in any order.
    if name not in queued or queued[name].precedence < row.precedence:
        queued[name] = row


def _drop(queued, pairs):
    for name, row in pairs:
        if queued.get(name) == row:
            del queued[name]
