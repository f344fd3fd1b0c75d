"""Socket-level servers and raw HTTP exchanges for tests."""

import contextlib
import socket
import threading
import time
from dataclasses import dataclass

TIMEOUT_SECONDS = 10.0
STREAMED_SECONDS = 5.0
# More than the default limit of an answer and the buffers of the sockets together.
STREAMED_BYTES = 96 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class BrokenOff:
    """The bytes of an answer after which the connection is closed."""

    raw: bytes


class ScriptedServer:
    """Answers each connection with its own script of raw answers.

    An entry of a script is the bytes sent after a request was read, a BrokenOff, or
    None to close the connection at that point. Requests are kept whole in
    ``requests``.
    """

    def __init__(self, *scripts):
        self._scripts = list(scripts)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._changed = threading.Condition()
        self.connections = 0
        self.requests = []
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                script = self._scripts[min(self.connections, len(self._scripts) - 1)]
                self.connections += 1
                threading.Thread(
                    target=self._serve, args=(sock, script), daemon=True
                ).start()

    def _serve(self, sock, script):
        with sock, contextlib.suppress(OSError):
            for raw in script:
                request = read_message(sock)
                if not request:
                    return
                with self._changed:
                    self.requests.append(request)
                    self._changed.notify_all()
                if raw is None:
                    return
                if isinstance(raw, BrokenOff):
                    sock.sendall(raw.raw)
                    return
                sock.sendall(raw)
            read_message(sock)

    def wait_for_requests(self, count):
        """Wait until ``count`` requests have arrived; return whether they did."""
        with self._changed:
            return self._changed.wait_for(
                lambda: len(self.requests) >= count, TIMEOUT_SECONDS
            )

    def close(self):
        """Accept no more connections."""
        # Closing alone leaves the socket listening while a thread waits in accept().
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()


def read_message(sock):
    """Return one HTTP message with its body by Content-Length.

    Return what has arrived, possibly nothing, when the connection closes earlier.
    """
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = sock.recv(65536)
        if not chunk:
            return data
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    while len(body) < length:
        chunk = sock.recv(65536)
        if not chunk:
            break
        body += chunk
    return head + b"\r\n\r\n" + body


def raw_answer(body=b"ok", request_id="", status="200 OK", framing=None):
    """Return the bytes of an HTTP answer; ``framing`` replaces its Content-Length."""
    framing = f"Content-Length: {len(body)}\r\n" if framing is None else framing
    id_header = f"X-Request-Id: {request_id}\r\n" if request_id else ""
    return f"HTTP/1.1 {status}\r\n{framing}{id_header}\r\n".encode() + body


def exchange_raw(address, content, half_close=False):
    """Send raw bytes and return all that arrives until the connection closes."""
    host, _, port = address.rpartition(":")
    answer = b""
    with socket.create_connection((host, int(port)), TIMEOUT_SECONDS) as sock:
        with contextlib.suppress(OSError):
            sock.sendall(content)
            if half_close:
                sock.shutdown(socket.SHUT_WR)
            while chunk := sock.recv(65536):
                answer += chunk
    return answer


class EndlessServer:
    """Sends an endless answer to requests that contain "endless".

    The answer is ``begin``, then ``piece`` repeated every ``pause`` seconds until the
    connection closes. Stops after STREAMED_SECONDS or STREAMED_BYTES, so that a
    failing test ends too. ``answer`` returns the answer to any other request.
    """

    def __init__(self, begin, piece, pause=0.0, answer=lambda request: raw_answer()):
        self._begin = begin
        self._piece = piece
        self._pause = pause
        self._answer = answer
        self._is_disconnected = threading.Event()
        self._is_closed = threading.Event()
        self.is_streaming = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        with sock, contextlib.suppress(OSError):
            while request := read_message(sock):
                if b"endless" in request:
                    self._stream(sock)
                    return
                sock.sendall(self._answer(request))

    def _stream(self, sock):
        deadline = time.monotonic() + STREAMED_SECONDS
        bytes_left = STREAMED_BYTES
        try:
            sock.sendall(self._begin)
            while bytes_left > 0 and time.monotonic() < deadline:
                sock.sendall(self._piece)
                bytes_left -= len(self._piece)
                self.is_streaming.set()
                if self._is_closed.wait(self._pause):
                    return
        except OSError:
            self._is_disconnected.set()

    def wait_for_disconnect(self):
        """Wait until the client closes an endless answer; return whether it did."""
        return self._is_disconnected.wait(TIMEOUT_SECONDS)

    def close(self):
        """Accept no more connections and stop all endless answers."""
        self._is_closed.set()
        self._listener.close()


def is_lock_free(lock, seconds=5.0):
    """Return whether the calling thread can take a lock, after others gave it back."""
    is_free = lock.acquire(timeout=seconds)
    if is_free:
        lock.release()
    return is_free
