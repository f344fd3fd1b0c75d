"""Child processes of the demo, the benches and the tests."""

import signal
import subprocess
import sys
import threading
from collections import deque

from rattanworks.utils.logging import parse_line

START_TIMEOUT_SECONDS = 120.0
STOP_TIMEOUT_SECONDS = 15.0
MAX_LOG_LINES = 2000


class ProcessError(Exception):
    """A process ended, or did not log an expected event within the timeout."""


class ManagedProcess:
    """A child process whose log events can be waited for."""

    def __init__(self, name, arguments):
        self.name = name
        self._lines = deque(maxlen=MAX_LOG_LINES)
        self._changed = threading.Condition()
        self._has_ended = False
        self._process = subprocess.Popen(
            [sys.executable, "-m", "rattanworks", *arguments],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            text=True,
            errors="replace",
        )
        threading.Thread(target=self._read, name=f"log-{name}", daemon=True).start()

    @property
    def pid(self):
        """Return the process id."""
        return self._process.pid

    @property
    def is_running(self):
        """Return whether the process has not ended."""
        return self._process.poll() is None

    @property
    def log(self):
        """Return the last lines of the log, at most ``MAX_LOG_LINES``."""
        return list(self._lines)

    def _read(self):
        for line in self._process.stderr:
            with self._changed:
                self._lines.append(line.rstrip("\n"))
                self._changed.notify_all()
        with self._changed:
            self._has_ended = True
            self._changed.notify_all()

    def wait_for(self, event, timeout=START_TIMEOUT_SECONDS):
        """Return the fields of the first log line with ``event``.

        Raise ProcessError if the process ends without it or ``timeout`` passes.
        """
        with self._changed:
            has_result = self._changed.wait_for(
                lambda: self._find(event) or self._has_ended, timeout
            )
        fields = self._find(event)
        if fields is None:
            state = "ended" if has_result else "timed out"
            tail = "\n".join(self.log[-20:])
            raise ProcessError(f"{self.name} {state} before event {event}:\n{tail}")
        return fields

    def _find(self, event):
        marker = f" event={event}"
        for line in self._lines:
            if f"{line} ".find(f"{marker} ") >= 0:
                return parse_line(line)
        return None

    def pause(self):
        """Suspend the process with SIGSTOP."""
        self._process.send_signal(signal.SIGSTOP)

    def resume(self):
        """Resume a suspended process."""
        self._process.send_signal(signal.SIGCONT)

    def kill(self):
        """Kill the process and wait until it has ended."""
        self._process.kill()
        self._process.wait()

    def terminate(self):
        """Ask the process to stop, with SIGTERM."""
        self._process.terminate()

    def interrupt(self):
        """Interrupt the process with SIGINT, as Ctrl-C in a terminal does."""
        self._process.send_signal(signal.SIGINT)

    def wait(self, timeout=STOP_TIMEOUT_SECONDS):
        """Wait for the end and return the exit status.

        Raise subprocess.TimeoutExpired if ``timeout`` passes first.
        """
        return self._process.wait(timeout)

    def end(self):
        """Stop the process; kill it if it has not stopped after the timeout."""
        if self.is_running:
            self.resume()
            self.terminate()
            try:
                self.wait()
            except subprocess.TimeoutExpired:
                self.kill()
        self._process.stderr.close()
