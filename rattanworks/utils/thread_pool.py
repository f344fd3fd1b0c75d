"""Threads that start when tasks need them and end when they were idle for a while."""

import itertools
import queue
import threading
from collections import deque

from rattanworks.utils.logging import log_event

# Long enough that the threads of a steady load are kept, short enough that those of a
# burst do not stay.
IDLE_SECONDS = 5.0


class OnDemandPool:
    """Runs tasks on up to ``max_threads`` threads; implements waitress' dispatcher.

    A task goes to the thread that became idle last, so that the threads beyond what
    the load needs stay idle and end. A task has a method ``service()`` that runs it and
    a method ``cancel()`` for one that is dropped at shutdown.
    """

    def __init__(self, max_threads, name, idle_seconds=IDLE_SECONDS):
        self._max_threads = max_threads
        self._name = name
        self._idle_seconds = idle_seconds
        self._numbers = itertools.count(1)
        self._changed = threading.Condition()
        self._waiting_tasks = deque()
        self._idle_inboxes = []
        self._thread_count = 0
        self._is_stopped = False

    @property
    def thread_count(self):
        """Return the number of threads, idle ones included."""
        return self._thread_count

    def add_task(self, task):
        """Run a task on an idle thread or a new one, or queue it."""
        with self._changed:
            if self._idle_inboxes:
                self._idle_inboxes.pop().put(task)
                return
            if self._thread_count >= self._max_threads or self._is_stopped:
                self._waiting_tasks.append(task)
                return
            self._thread_count += 1
        self._start_thread(task)

    def _start_thread(self, task):
        # Not under the lock: the new thread has to run before this one goes on.
        name = f"{self._name}-{next(self._numbers)}"
        threading.Thread(
            target=self._work, args=(task,), name=name, daemon=True
        ).start()

    def _work(self, task):
        inbox = queue.SimpleQueue()
        while task is not None:
            self._run(task)
            task = self._next_task(inbox)

    def _run(self, task):
        try:
            task.service()
        except Exception as error:
            log_event("task-failed", pool=self._name, reason=repr(error))

    def _next_task(self, inbox):
        """Return the next task of a thread, or None when the thread must end."""
        with self._changed:
            if self._waiting_tasks:
                return self._waiting_tasks.popleft()
            if self._is_stopped:
                return self._end_thread()
            self._idle_inboxes.append(inbox)
        try:
            return inbox.get(timeout=self._idle_seconds)
        except queue.Empty:
            return self._end_if_idle(inbox)

    def _end_if_idle(self, inbox):
        with self._changed:
            if inbox in self._idle_inboxes:
                self._idle_inboxes.remove(inbox)
                return self._end_thread()
        # The inbox got a task, or the end of the pool, just after the timeout.
        return inbox.get()

    def _end_thread(self):
        self._thread_count -= 1
        self._changed.notify_all()

    def shutdown(self, cancel_pending=True, timeout=5):
        """Drop queued tasks and wait up to ``timeout`` seconds for running ones.

        Return whether tasks were dropped, as waitress expects.
        """
        with self._changed:
            self._is_stopped = True
            dropped = ()
            if cancel_pending:
                dropped, self._waiting_tasks = self._waiting_tasks, deque()
            self._thread_count -= len(self._idle_inboxes)
            while self._idle_inboxes:
                self._idle_inboxes.pop().put(None)
            self._changed.wait_for(lambda: not self._thread_count, timeout)
        for task in dropped:
            task.cancel()
        return bool(dropped)
