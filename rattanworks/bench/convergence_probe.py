"""Probes for dangling routes, and samples of each node's resource usage."""

import threading
import time

from prometheus_client.parser import text_string_to_metric_families

from rattanworks.bench.caller import Caller
from rattanworks.bench.convergence_edits import PROBED_CUSTOMER, SERVICE
from rattanworks.bench.resources import usage_of
from rattanworks.exceptions import CallNotSentError, CallOutcomeUnknownError
from rattanworks.utils.http_pool import HttpPool

PROBE_INTERVAL_SECONDS = 0.25
PROBE_TIMEOUT_SECONDS = 1.0
METRICS_TIMEOUT_SECONDS = 3.0
SENT_BYTES = "rattanworks_control_sent_bytes"
RECEIVED_BYTES = "rattanworks_control_received_bytes"
NO_ENDPOINT_TEXT = b"no endpoint"


class RouteProbe(threading.Thread):
    """Requests a service without an endpoint from one node after the other.

    No endpoint is announced during the run, so every node must refuse the request by
    its route table alone. An answer from a later step of the call path means that the
    route table holds a dangling route, one to a service without an endpoint.
    """

    def __init__(self, fleet):
        super().__init__(name="probe", daemon=True)
        self._fleet = fleet
        self._stopped = threading.Event()
        self.probe_count = 0
        self.dangling_count = 0

    def run(self):
        """Probe the running nodes in turn until stopped."""
        while not self._stopped.is_set():
            for node in self._fleet.nodes:
                if self._stopped.wait(PROBE_INTERVAL_SECONDS):
                    return
                self._probe(node)

    def _probe(self, node):
        caller = Caller(node.callers, PROBED_CUSTOMER)
        try:
            answer = caller.send("GET", f"/{SERVICE}/1", timeout=PROBE_TIMEOUT_SECONDS)
        except (CallNotSentError, CallOutcomeUnknownError):
            return
        finally:
            caller.close()
        self.probe_count += 1
        self.dangling_count += answer.status == 500 or NO_ENDPOINT_TEXT in answer.body

    def stop(self):
        """Stop and wait until the thread has ended."""
        self._stopped.set()
        self.join()


class UsageSample:
    """Control bytes, processor time and memory of each node at one point in time."""

    def __init__(self, nodes):
        self.time = time.monotonic()
        self.usage_by_pid = {
            node.process.pid: usage
            for node in nodes
            if (usage := usage_of(node.process.pid)) is not None
        }
        self.bytes_by_pid = {}
        for node in nodes:
            count = control_bytes(node.admin)
            if count is not None:
                self.bytes_by_pid[node.process.pid] = count

    def bytes_per_second(self, earlier):
        """Return the control bytes per second of each node that is in both samples."""
        seconds = self.time - earlier.time
        return [
            (count - earlier.bytes_by_pid[pid]) / seconds
            for pid, count in self.bytes_by_pid.items()
            if pid in earlier.bytes_by_pid
        ]

    def core_fractions(self, earlier):
        """Return the fraction of a core used by each node that is in both samples."""
        seconds = self.time - earlier.time
        return [
            (usage.core_seconds - earlier.usage_by_pid[pid].core_seconds) / seconds
            for pid, usage in self.usage_by_pid.items()
            if pid in earlier.usage_by_pid
        ]

    def rss_mb(self):
        """Return the resident memory of each node in MiB."""
        return [usage.rss_mb for usage in self.usage_by_pid.values()]


def control_bytes(admin_address):
    """Return the control bytes a node sent and received, framing included, or None."""
    pool = HttpPool(admin_address, 1)
    try:
        answer = pool.exchange("GET", "/metrics", (), b"", METRICS_TIMEOUT_SECONDS)
    except (CallNotSentError, CallOutcomeUnknownError):
        return None
    finally:
        pool.close()
    samples = {
        sample.name: sample.value
        for family in text_string_to_metric_families(answer.body.decode())
        for sample in family.samples
    }
    return samples[SENT_BYTES] + samples[RECEIVED_BYTES]
