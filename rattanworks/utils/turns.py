"""The order in which the threads of a node begin calls."""

import contextlib
import enum
import threading
import time
from collections import deque

# Threads that begin a call at the same time. Python runs one of them at a time; the
# second one goes on while the first makes a system call.
BEGINNING_THREADS = 2
# A turn that is held for longer no longer counts: its thread is blocked.
MAX_HOLD_SECONDS = 0.05
# A call that has waited for longer to begin is handled without a turn.
MAX_WAIT_SECONDS = 0.25
# A new call of a caller is refused while another one has waited for longer. It is a
# fraction of the shortest objective of callers, 0.2 s.
BACKLOG_SECONDS = 0.05

_current = threading.local()


class Beginner(enum.IntEnum):
    """Who sent a call, in the order in which calls begin.

    Another node has already worked for a call of PEER.
    """

    PEER = 0
    CALLER = 1


class _Turn:
    """A turn of one thread, waited for and then held since ``since``."""

    __slots__ = ("is_granted", "since")

    def __init__(self, since):
        self.since = since
        self.is_granted = threading.Lock()
        self.is_granted.acquire()


class Turns:
    """Lets a few threads at a time begin calls, in the order of Beginner.

    A thread holds its turn until ``end_turn``, which everything that blocks calls
    first. A thread that goes on after a wait needs no turn.

    Load pattern: more calls arrive than the processor can handle. If all their threads
    compete for the interpreter, a thread whose answer has arrived or whose time is up
    waits among them for seconds. With turns it competes with a few: calls in progress
    end before others begin, and the calls that are left over wait in order, with a
    delay that tells when to refuse calls.
    """

    def __init__(self, limit=BEGINNING_THREADS, monotonic=time.monotonic):
        self._limit = limit
        self._monotonic = monotonic
        self._lock = threading.Lock()
        self._held = set()
        self._waiting_by_beginner = {beginner: deque() for beginner in Beginner}

    @contextlib.contextmanager
    def turn(self, beginner, max_wait=MAX_WAIT_SECONDS):
        """Hold a turn, unless none is free within ``max_wait`` seconds.

        Yields whether one was free.
        """
        turn = self._take(beginner, max_wait)
        _current.turn = turn and (self, turn)
        try:
            yield turn is not None
        finally:
            end_turn()

    @property
    def waiting(self):
        """Return the number of calls that wait for a turn."""
        return sum(map(len, self._waiting_by_beginner.values()))

    @property
    def is_backlogged(self):
        """Return whether a caller's call has waited for too long."""
        waiting = self._waiting_by_beginner[Beginner.CALLER]
        try:
            return self._monotonic() - waiting[0].since > BACKLOG_SECONDS
        except IndexError:
            return False

    def end(self, turn):
        """Give a turn back."""
        with self._lock:
            self._held.discard(turn)
            self._grant(self._monotonic())

    def _take(self, beginner, max_wait):
        """Return a turn, None if none was free in time."""
        waiting = self._waiting_by_beginner[beginner]
        with self._lock:
            now = self._monotonic()
            turn = _Turn(now)
            waiting.append(turn)
            self._drop_overdue(now)
            self._grant(now)
        if turn.is_granted.acquire(timeout=max_wait):
            return turn
        with self._lock:
            if turn not in waiting:
                return turn
            waiting.remove(turn)
            return None

    def _grant(self, now):
        for waiting in self._waiting_by_beginner.values():
            while waiting and len(self._held) < self._limit:
                turn = waiting.popleft()
                turn.since = now
                self._held.add(turn)
                turn.is_granted.release()

    def _drop_overdue(self, now):
        overdue = [turn for turn in self._held if turn.since < now - MAX_HOLD_SECONDS]
        self._held.difference_update(overdue)


def end_turn():
    """Give back the turn that the calling thread holds, if any, before it blocks."""
    current = getattr(_current, "turn", None)
    if current is not None:
        _current.turn = None
        turns, turn = current
        turns.end(turn)
