"""The order in which the threads of a node begin calls."""

import contextlib
import threading
import time
from collections import defaultdict, deque

# Threads that begin a call at the same time. Python runs one of them at a time; the
# second one goes on while the first makes a system call.
BEGINNING_THREADS = 2
# A turn that is held for longer no longer counts: its thread is blocked.
MAX_HOLD_SECONDS = 0.1
# Longest wait for a turn. It is about the shortest objective of callers.
MAX_WAIT_SECONDS = 0.25
# A new call is refused while one that goes before it has waited for longer. It is a
# fraction of the shortest objective of callers, 0.2 s.
BACKLOG_SECONDS = 0.05
# Calls of other nodes begin before those of callers, which have ranks from 0 on:
# another node has already worked for them.
PEERS_RANK = -1

_current = threading.local()


class _Turn:
    """A turn of one thread, waited for and then held since ``since``."""

    __slots__ = ("is_granted", "since")

    def __init__(self, since):
        self.since = since
        self.is_granted = threading.Lock()
        self.is_granted.acquire()


class Turns:
    """Lets a few threads at a time begin calls, those of the lowest rank first.

    A thread holds its turn until ``end_turn``, which everything that blocks calls
    first. A thread that goes on after a wait needs no turn.

    Load pattern: more calls arrive than the processor can handle. If all their threads
    compete for the interpreter, a thread whose answer has arrived or whose time is up
    waits among them for seconds. With turns it competes with a few: calls in progress
    end before others begin, and the calls that are left over wait in order, with a
    delay that tells when to refuse calls. A call that has waited for ``max_wait``
    seconds goes on without a turn.
    """

    def __init__(
        self,
        limit=BEGINNING_THREADS,
        monotonic=time.monotonic,
        max_wait=MAX_WAIT_SECONDS,
    ):
        self._limit = limit
        self._max_wait = max_wait
        self._monotonic = monotonic
        self._lock = threading.Lock()
        self._held = set()
        self._waiting_by_rank = defaultdict(deque)

    @contextlib.contextmanager
    def turn(self, rank):
        """Hold a turn, unless none is free in time; yields whether one was."""
        turn = self._take(rank)
        _current.turn = turn and (self, turn)
        try:
            yield turn is not None
        finally:
            end_turn()

    @property
    def waiting(self):
        """Return the number of calls that wait for a turn."""
        return sum(map(len, list(self._waiting_by_rank.values())))

    def is_backlogged(self, rank):
        """Return whether a call that goes before ``rank`` has waited for too long."""
        if not self.waiting:
            return False
        latest = self._monotonic() - BACKLOG_SECONDS
        with self._lock:
            return any(
                waiting and other <= rank and waiting[0].since < latest
                for other, waiting in self._waiting_by_rank.items()
            )

    def end(self, turn):
        """Give a turn back."""
        with self._lock:
            self._held.discard(turn)
            self._grant(self._monotonic())

    def _take(self, rank):
        """Return a turn, None if none was free in time."""
        with self._lock:
            now = self._monotonic()
            turn = _Turn(now)
            waiting = self._waiting_by_rank[rank]
            waiting.append(turn)
            self._drop_overdue(now)
            self._grant(now)
        end = time.monotonic() + self._max_wait
        while not turn.is_granted.acquire(timeout=MAX_HOLD_SECONDS):
            with self._lock:
                now = self._monotonic()
                self._drop_overdue(now)
                self._grant(now)
                if turn in waiting and time.monotonic() >= end:
                    waiting.remove(turn)
                    return None
        return turn

    def _grant(self, now):
        for _, waiting in sorted(self._waiting_by_rank.items()):
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
