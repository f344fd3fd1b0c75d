"""Whole messages over TCP, framed by multiprocessing's Connection."""

import contextlib
import os
import select
import socket
import struct
import threading
from multiprocessing.connection import Connection

from rattanworks.utils.compression import HeadCodec
from rattanworks.utils.logging import log_event
from rattanworks.utils.sockets import (
    FAST_LIVENESS,
    apply_liveness,
    set_acknowledgement_timeout,
    split_address,
)
from rattanworks.utils.thread_pool import IDLE_SECONDS

STALL_SECONDS = 10
BACKLOG = 1024
MILLISECONDS_PER_SECOND = 1000
MAX_FRAME_BYTES = 4 * 1024 * 1024
ARMED = select.EPOLLIN | select.EPOLLONESHOT


class HookedConnection(Connection):
    """A Connection that calls an optional hook before each read or write.

    With ``before_write`` a write sends as much as fits and never blocks.
    """

    before_read = None
    before_write = None

    def _recv(self, size, read=os.read):
        return super()._recv(size, self._read_after_hook if self.before_read else read)

    def _read_after_hook(self, handle, size):
        self.before_read()
        return os.read(handle, size)

    def _send(self, buf, write=os.write):
        super()._send(buf, self._write_after_hook if self.before_write else write)

    def _write_after_hook(self, handle, content):
        self.before_write()
        with _socket_of(handle) as sock:
            try:
                return sock.send(content, socket.MSG_DONTWAIT)
            except BlockingIOError:
                return 0


@contextlib.contextmanager
def _socket_of(descriptor):
    """Yield a socket over a descriptor without taking ownership of it."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, descriptor)
    try:
        yield sock
    finally:
        sock.detach()


class FrameConnection:
    """One TCP connection, which breaks when a message stalls half-way."""

    def __init__(self, sock):
        sock.settimeout(None)
        apply_liveness(sock, FAST_LIVENESS)
        # The kernel ends stalled reads and writes, so none needs a poll before it.
        stall = struct.pack("ll", STALL_SECONDS, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, stall)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, stall)
        self._connection = HookedConnection(sock.detach())
        self._sent_heads = HeadCodec()
        self._received_heads = HeadCodec()
        self.descriptor = self._connection.fileno()
        self._readable_poll = select.poll()
        self._readable_poll.register(self.descriptor, select.POLLIN)
        self._writable_poll = select.poll()
        self._writable_poll.register(self.descriptor, select.POLLOUT)

    def send(self, message, wait=None):
        """Send one message; raise OSError when the connection broke.

        ``wait()`` is called before each write: it returns when the connection is
        writable, or raises to give up.
        """
        self._connection.before_write = wait
        try:
            self._connection.send_bytes(message)
        finally:
            self._connection.before_write = None

    def set_unread_timeout(self, seconds):
        """Set for how many seconds the peer may leave sent bytes unread.

        Values below the default of FAST_LIVENESS restore that default.
        """
        timeout = max(seconds, FAST_LIVENESS.acknowledged_seconds)
        with _socket_of(self.descriptor) as sock:
            set_acknowledgement_timeout(sock, timeout)

    def send_parts(self, head, body):
        """Send head and body as one message, the head compressed; raise OSError."""
        self._connection.send_bytes(self._sent_heads.pack(head) + body)

    def parts_of(self, frame):
        """Return head and body of a message sent by send_parts; raise DecodeError."""
        return self._received_heads.unpack(frame)

    def receive(self, wait=None):
        """Return the next message; raise EOFError or OSError when the connection ended.

        ``wait()`` is called before each read: it returns when there is input, or
        raises to give up.
        """
        self._connection.before_read = wait
        try:
            return self._connection.recv_bytes(MAX_FRAME_BYTES)
        finally:
            # An idle connection must not keep its last call's objects alive.
            self._connection.before_read = None

    def wait(self, seconds):
        """Wait for input or the end of the stream; return whether either came."""
        return bool(
            self._readable_poll.poll(max(0.0, seconds) * MILLISECONDS_PER_SECOND)
        )

    def wait_until_writable(self, seconds):
        """Wait until bytes can be sent; return whether they can."""
        return bool(
            self._writable_poll.poll(max(0.0, seconds) * MILLISECONDS_PER_SECOND)
        )

    def close(self):
        """Close the connection."""
        self._connection.close()


def connect_frames(address, timeout):
    """Return a FrameConnection to ``address``; raise OSError."""
    try:
        sock = socket.create_connection(split_address(address), timeout)
    except ValueError as error:
        # Also raised for a host that is not a name in DNS.
        raise OSError(f"cannot connect: {error}") from error
    return FrameConnection(sock)


class FrameServer:
    """Serves connections on threads that each read, handle and answer messages.

    All threads wait on one epoll set, in which each connection is armed for one
    event (EPOLLONESHOT), so the thread that reads a message also handles it. A
    thread is added whenever all are busy, up to ``max_threads``, and ends when it
    was idle for ``idle_seconds`` and another one is idle too.
    ``serve(connection)`` handles one message and returns whether the connection
    may be kept.
    """

    def __init__(self, serve, host, port, max_threads, name, idle_seconds=IDLE_SECONDS):
        self._serve = serve
        self._name = name
        self._max_threads = max_threads
        self._idle_seconds = idle_seconds
        self._listener = socket.create_server((host, port), backlog=BACKLOG)
        self._listener.setblocking(False)
        self._waker, self._wake_end = socket.socketpair()
        self._epoll = select.epoll()
        self._epoll.register(self._listener.fileno(), ARMED)
        self._epoll.register(self._wake_end.fileno(), select.EPOLLIN)
        self._idle_by_descriptor = {}
        self._lock = threading.Lock()
        self._threads = 0
        self._busy = 0
        self._is_stopped = False
        self.address = "{}:{}".format(*self._listener.getsockname()[:2])

    def start(self):
        """Begin to accept connections."""
        with self._lock:
            self._threads += 1
        self._start_thread()

    def _start_thread(self):
        # Not under the lock: the new thread has to run before this one goes on.
        name = f"{self._name}-{self._threads}"
        threading.Thread(target=self._work, name=name, daemon=True).start()

    def _work(self):
        listener = self._listener.fileno()
        while not self._is_stopped:
            try:
                events = self._epoll.poll(self._idle_seconds, maxevents=1)
            except (OSError, ValueError):
                # The epoll set cannot be polled any longer: the server has stopped.
                return
            if not events and self._end_surplus_thread():
                return
            for descriptor, _ in events:
                if descriptor == listener:
                    self._accept()
                else:
                    self._handle(descriptor)

    def _end_surplus_thread(self):
        """Give up the calling idle thread unless it is the only idle one."""
        with self._lock:
            is_surplus = self._threads - self._busy > 1
            self._threads -= is_surplus
            return is_surplus

    def _accept(self):
        with self._lock:
            if self._is_stopped:
                return
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            finally:
                self._epoll.modify(self._listener.fileno(), ARMED)
            connection = FrameConnection(sock)
            self._idle_by_descriptor[connection.descriptor] = connection
            self._epoll.register(connection.descriptor, ARMED)

    def _handle(self, descriptor):
        # Only the thread that removes an idle connection here may use or close it.
        connection = self._idle_by_descriptor.pop(descriptor, None)
        if connection is None:
            return
        with self._lock:
            self._busy += 1
            is_last = self._busy == self._threads < self._max_threads
            self._threads += is_last
        if is_last:
            self._start_thread()
        is_kept = False
        try:
            is_kept = self._serve(connection)
        except (EOFError, OSError):
            # The peer disconnected or stalled: no answer can be sent.
            is_kept = False
        except Exception as error:
            log_event("frame-not-handled", server=self._name, reason=repr(error))
        finally:
            with self._lock:
                self._busy -= 1
            self._rearm_or_close(descriptor, connection, is_kept)

    def _rearm_or_close(self, descriptor, connection, is_kept):
        with self._lock:
            is_kept = is_kept and not self._is_stopped
            if is_kept:
                self._idle_by_descriptor[descriptor] = connection
        if not is_kept:
            connection.close()
            return
        # A stop may have closed the connection meanwhile.
        with contextlib.suppress(OSError, ValueError):
            self._epoll.modify(descriptor, ARMED)

    @property
    def thread_count(self):
        """Return the number of threads, idle ones included."""
        return self._threads

    @property
    def active_count(self):
        """Return the number of messages that are being handled."""
        return self._busy

    @property
    def is_idle(self):
        """Return whether no message is being handled."""
        return self.active_count == 0

    def stop(self):
        """Close every idle connection and end the threads."""
        # From now on no thread adds a connection.
        with self._lock:
            self._is_stopped = True
            self._listener.close()
        self._waker.send(b"\0")
        # Another thread may remove a connection while this loop runs.
        for descriptor in list(self._idle_by_descriptor):
            connection = self._idle_by_descriptor.pop(descriptor, None)
            if connection is not None:
                connection.close()
