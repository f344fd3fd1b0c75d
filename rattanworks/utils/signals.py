"""Waiting on the main thread without missing a signal."""

import contextlib
import select
import signal
import socket

CHECK_SECONDS = 1.0
MILLISECONDS = 1000
SIGNAL_BYTES = 64


@contextlib.contextmanager
def _woken_by_signals():
    """Yield a socket that turns readable with each signal, whichever thread took it.

    Python runs the handler once the main thread goes on; a signal that the kernel
    hands to another thread interrupts no wait of the main one.
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
    """Wait until a handler sets ``event``.

    ``on_check()`` is called every second and after each other signal.
    """
    with _woken_by_signals() as reader:
        poll = select.poll()
        poll.register(reader, select.POLLIN)
        while not event.is_set():
            if poll.poll(CHECK_SECONDS * MILLISECONDS):
                reader.recv(SIGNAL_BYTES)
            if not event.is_set():
                on_check()
