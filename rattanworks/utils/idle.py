"""Waiting until a server is idle."""

import time

POLL_SECONDS = 0.01


def wait_until_idle(server, timeout):
    """Wait up to ``timeout`` seconds; return whether the server is idle."""
    deadline = time.monotonic() + timeout
    while not server.is_idle:
        if time.monotonic() >= deadline:
            return False
        time.sleep(POLL_SECONDS)
    return True
