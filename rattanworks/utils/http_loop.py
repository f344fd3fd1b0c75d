"""The loop of a waitress server's reading thread, on epoll."""

import contextlib
import functools
import select
import threading
from collections import deque

from waitress import wasyncore

from rattanworks.utils.tasks import run_guarded

# EPOLL* and POLL* have the same values, which wasyncore.readwrite expects.
READ = select.EPOLLIN | select.EPOLLPRI
WRITE = select.EPOLLOUT
# Time after which the loop looks at the server at the latest.
LOOP_SECONDS = 0.5


class HttpLoop(dict):
    """A map of wasyncore dispatchers by descriptor, and the loop that runs them.

    The loop of wasyncore asks every connection before each wait whether it is to be
    read or written, so that each event costs as much as there are connections. Here
    only those that may have changed are asked.

    Load pattern: callers who repeat calls open a connection for each and keep it, a
    thousand to one node.
    """

    def __init__(self):
        super().__init__()
        self._epoll = select.epoll()
        self._interest_by_descriptor = {}
        self._changed = deque()
        self._added = set()
        self._thread = None

    def __setitem__(self, descriptor, dispatcher):
        """Add a dispatcher, which may not be built completely yet."""
        super().__setitem__(descriptor, dispatcher)
        self._added.add(descriptor)
        self._set_interest(descriptor, READ)

    def __delitem__(self, descriptor):
        """Remove a dispatcher before its descriptor is closed."""
        super().__delitem__(descriptor)
        # The descriptor may be closed already, or the loop.
        with contextlib.suppress(OSError, ValueError):
            self._set_interest(descriptor, 0)

    def is_changed(self, dispatcher):
        """Return whether the loop waits for something else than the dispatcher needs.

        May be called by any thread after a change of the dispatcher.
        """
        descriptor = dispatcher._fileno
        known = self._interest_by_descriptor.get(descriptor, 0)
        return descriptor in self and _interest_of(dispatcher) != known

    def mark_changed(self, dispatcher):
        """Look at a dispatcher in the next pass; the caller ends the wait."""
        self._changed.append(dispatcher)

    def refresh_all(self):
        """Look at every dispatcher; on the thread of the loop."""
        for dispatcher in list(self.values()):
            self._refresh(dispatcher)

    @property
    def is_own_thread(self):
        """Return whether the calling thread may close dispatchers.

        Only the thread of the loop may while it runs.
        """
        return self._thread in (None, threading.current_thread())

    def run(self, server, due_answers, name):
        """Run until the map is empty; ``server`` is the listening dispatcher.

        Gives the answers of ``due_answers`` that are due. An error ends one connection
        or one pass, not the thread on which all callers depend.
        """
        self._thread = threading.current_thread()
        run_pass = functools.partial(self._run_pass, server, due_answers)
        while self:
            run_guarded(name, run_pass)
        self._thread = None
        self._epoll.close()

    def _run_pass(self, server, due_answers):
        self._refresh(server)
        while self._changed:
            self._refresh(self._changed.popleft())
        self._added.clear()
        timeout = due_answers.seconds_to_next(LOOP_SECONDS)
        for descriptor, flags in self._epoll.poll(timeout):
            dispatcher = self.get(descriptor)
            # One that was added in this pass may have the descriptor of a closed one.
            if dispatcher is None or descriptor in self._added:
                continue
            handle = functools.partial(self._handle, dispatcher, flags)
            if not run_guarded("connection", handle):
                run_guarded("connection", dispatcher.handle_close)
        due_answers.run_due()

    def _handle(self, dispatcher, flags):
        wasyncore.readwrite(dispatcher, flags)
        self._refresh(dispatcher)

    def _refresh(self, dispatcher):
        # Another thread may change the dispatcher meanwhile: it compares its change
        # with the interest known here, and this thread compares again after setting it.
        while self.is_changed(dispatcher):
            self._set_interest(dispatcher._fileno, _interest_of(dispatcher))

    def _set_interest(self, descriptor, interest):
        known = self._interest_by_descriptor.pop(descriptor, 0)
        if interest:
            self._interest_by_descriptor[descriptor] = interest
        if not known and interest:
            self._epoll.register(descriptor, interest)
        elif known and not interest:
            self._epoll.unregister(descriptor)
        elif known != interest:
            self._epoll.modify(descriptor, interest)


def _interest_of(dispatcher):
    interest = READ if dispatcher.readable() else 0
    if dispatcher.writable() and not dispatcher.accepting:
        interest |= WRITE
    return interest
