"""Waiting on the main thread without delaying the handling of signals."""

import contextlib
import select
import signal
import socket

CHECK_SECONDS = 1.0
MILLISECONDS_PER_SECOND = 1000
SIGNAL_BYTES = 64


@contextlib.contextmanager
def _signal_socket():
    """Yield a socket that becomes readable on each signal.

    Python runs signal handlers when the main thread continues, but a signal that
    the kernel delivers to another thread does not interrupt the main thread's
    wait.
    """
    reader, writer = socket.socketpair()
    with reader, writer:
        reader.setblocking(False)
        writer.setblocking(False)
        previous = signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
        try:
            yield reader
        finally:
            signal.set_wakeup_fd(previous)


def wait_with_signals(event, on_check):
    """Wait until ``event`` is set, by a signal handler or by ``on_check()``.

    ``on_check()`` is called every second and after each signal that does not set
    ``event``.
    """
    with _signal_socket() as reader:
        poll = select.poll()
        poll.register(reader, select.POLLIN)
        while not event.is_set():
            if poll.poll(CHECK_SECONDS * MILLISECONDS_PER_SECOND):
                reader.recv(SIGNAL_BYTES)
            if not event.is_set():
                on_check()
