"""Planned stops under callers who use their connections until the node is gone.

Each seed draws the time of the stop, how long calls run and when they come. Run many
by hand: ``python -m rattanworks.tests.platform.stop_soak --seeds 50``.
"""

import argparse
import contextlib
import http.client
import random
import sys
import threading
import time
import unittest
from dataclasses import dataclass

from rattanworks.node.stopping import plan_stop
from rattanworks.tests.platform.session_tests import Session, bring_up

CALLERS = 6
CALLER_SECONDS = 20.0
LEAST_GRACE, MOST_GRACE = 2.0, 6.0
# Calls and the stop begin within this time.
BEFORE_SECONDS = 0.5
# The users' bound for a whole request whose connection ends without being sent on.
UNSENT_SECONDS = 0.2
# The platform excuses calls at work in the last sixth of a stop.
PROTECTED_PART = 5 / 6
STALL_POLL_SECONDS = 0.01


@dataclass(frozen=True, slots=True)
class Exchange:
    """What a caller saw of one request; times are monotonic."""

    request_id: str
    sent_at: float
    ended_at: float
    status: int | None
    body: bytes = b""


class StallWatch:
    """Measures the longest time for which this process did not run a thread."""

    def __init__(self):
        self.longest = 0.0
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *error):
        self._ended.set()
        self._thread.join()

    def _run(self):
        before = time.monotonic()
        while not self._ended.wait(STALL_POLL_SECONDS):
            now = time.monotonic()
            self.longest = max(self.longest, now - before - STALL_POLL_SECONDS)
            before = now


class Soak:
    """One stop of one node, played from a seed."""

    def __init__(self, test, seed):
        self.random = random.Random(seed)
        self.grace = self.random.uniform(LEAST_GRACE, MOST_GRACE)
        self.session = Session(test, grace=f"{round(self.grace * 1000)}ms")
        bring_up(test, self.session)
        self.exchanges = []
        self.run_ends_by_id = {}
        self.is_stopped = threading.Event()
        self.session.backend.answer = self._run

    def _run(self, environ, body):
        request_id = environ["HTTP_X_REQUEST_ID"]
        seconds = float(body)
        self.run_ends_by_id[request_id] = time.monotonic() + seconds
        time.sleep(seconds)
        return 200, request_id.encode()

    def play(self):
        """Call, stop and call on until the node is gone; return the faults."""
        seeds = [self.random.random() for _ in range(CALLERS)]
        callers = [
            threading.Thread(target=self._call_on, args=(number, seed))
            for number, seed in enumerate(seeds)
        ]
        with StallWatch() as watch:
            for caller in callers:
                caller.start()
            time.sleep(self.random.uniform(0, BEFORE_SECONDS))
            self.began = time.monotonic()
            self.session.stop()
            self.is_stopped.set()
            for caller in callers:
                caller.join()
        return list(self._faults(watch.longest))

    def _call_on(self, number, seed):
        chance = random.Random(seed)
        connection = None
        count = 0
        while not self.is_stopped.is_set():
            connection = connection or self._connect()
            if connection is None:
                continue
            count += 1
            exchange, is_open = self._exchange(connection, f"{number}-{count}", chance)
            self.exchanges.append(exchange)
            if not is_open:
                connection.close()
                connection = None
            time.sleep(chance.uniform(0, 0.2))

    def _connect(self):
        connection = http.client.HTTPConnection(
            self.session.addresses["callers"], timeout=CALLER_SECONDS
        )
        try:
            connection.connect()
        except OSError:
            time.sleep(STALL_POLL_SECONDS)
            return None
        return connection

    def _exchange(self, connection, request_id, chance):
        headers = {
            "Host": "shop.example",
            "X-Request-Id": request_id,
            "X-Request-Deadline": str(chance.choice((500, 2000, 15000))),
        }
        run_seconds = chance.choice((0.0, 0.1, chance.uniform(0, self.grace)))
        sent_at = time.monotonic()
        status, body, is_open = None, b"", False
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection.request("POST", "/slow/1", f"{run_seconds:.3f}", headers)
            answer = connection.getresponse()
            body = answer.read()
            status, is_open = answer.status, not answer.will_close
        ended_at = time.monotonic()
        return Exchange(request_id, sent_at, ended_at, status, body), is_open

    def _faults(self, stall):
        ids = [headers["X-Request-Id"] for _, _, headers, _ in self._requests()]
        for request_id in {one for one in ids if ids.count(one) > 1}:
            yield f"{request_id} ran twice"
        for exchange in self.exchanges:
            fault = self._fault_of(exchange, exchange.request_id in ids, stall)
            if fault:
                since = exchange.sent_at - self.began
                yield f"{exchange.request_id}, sent {since:.3f} s after: {fault}"

    def _requests(self):
        return self.session.backend.requests

    def _fault_of(self, exchange, has_run, stall):
        if exchange.status == 503:
            return "refused, but it ran" if has_run else None
        if exchange.status == 200:
            is_own = exchange.body == exchange.request_id.encode()
            return None if is_own else f"another answer: {exchange.body!r}"
        if exchange.status is not None:
            return None
        if not has_run:
            waited = exchange.ended_at - exchange.sent_at
            is_late = waited > UNSENT_SECONDS + stall
            return (
                f"neither sent on nor answered for {waited:.3f} s" if is_late else None
            )
        return self._fault_of_cut(exchange, stall)

    def _fault_of_cut(self, exchange, stall):
        plan = plan_stop(self.began, self.session.daemon.node.settings.drain)
        protected = plan.began + (plan.ends_at - plan.began) * PROTECTED_PART
        run_ends = self.run_ends_by_id[exchange.request_id]
        if run_ends + stall < protected or exchange.ended_at < protected:
            return (
                f"cut {exchange.ended_at - self.began:.3f} s into a stop of "
                f"{self.grace:.3f} s; its run ended at {run_ends - self.began:.3f} s"
            )
        return None


def faults_of(test, seed):
    """Return the faults of one seed, a text each."""
    return Soak(test, seed).play()


def main():
    """Play seeds one after another; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=50, help="number of seeds")
    arguments = parser.parse_args()
    has_faults = False
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        test = unittest.TestCase()
        try:
            faults = faults_of(test, seed)
        finally:
            test.doCleanups()
        has_faults = has_faults or bool(faults)
        print(f"seed {seed}: {'; '.join(faults) or 'no fault'}", flush=True)
    return int(has_faults)


if __name__ == "__main__":
    sys.exit(main())
