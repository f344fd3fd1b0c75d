import io
import unittest

from rattanworks.adapters.fault_injection import (
    FaultInjectionApp,
    FaultInjector,
    FaultyControlPeers,
    FaultyPeerCalls,
    InjectedFaults,
    LinkFault,
)
from rattanworks.exceptions import (
    CallNotSentError,
    CallOutcomeUnknownError,
    PeerUnavailableError,
)
from rattanworks.membership.members import Members
from rattanworks.tests.builders import build_call, build_record
from rattanworks.tests.fakes import FakeClock, FakeControlPeers, FakePeerCalls
from rattanworks.utils.codec import encode_json


class FaultInjectionTests(unittest.TestCase):
    def setUp(self):
        members = Members(build_record("own"))
        self.remote = build_record(
            "far", failure_domain="qc-est-b", control_address="127.0.0.1:9"
        )
        members.table.merge((self.remote,))
        self.injector = FaultInjector(members)
        self.inner = FakeControlPeers()
        self.peers = FaultyControlPeers(self.inner, self.injector)

    def inject(self, **changes):
        link = LinkFault(failure_domains=("qc-est-b",), **changes)
        self.injector.faults = InjectedFaults((link,))

    def request(self):
        return self.peers.request("127.0.0.1:9", "message", 1.0)

    def test_a_lost_request_does_not_reach_the_peer(self):
        self.inject(loses_sent=True)
        with self.assertRaises(PeerUnavailableError):
            self.request()
        self.assertEqual(self.inner.requests, [])

    def test_a_lost_reply_leaves_the_request_delivered(self):
        self.inject(loses_received=True)
        with self.assertRaises(PeerUnavailableError):
            self.request()
        self.assertEqual(len(self.inner.requests), 1)

    def test_messages_pass_again_once_the_faults_are_removed(self):
        self.inject(loses_sent=True)
        self.injector.faults = InjectedFaults()
        self.request()
        self.assertEqual(len(self.inner.requests), 1)

    def test_calls_are_lost_before_they_run_and_answers_after(self):
        calls = FakePeerCalls()
        faulty = FaultyPeerCalls(calls, self.injector, FakeClock())
        self.inject(loses_sent=True)
        with self.assertRaises(CallNotSentError):
            faulty.dispatch(self.remote, build_call())
        self.assertEqual(calls.dispatched, [])
        self.inject(loses_received=True)
        with self.assertRaises(CallOutcomeUnknownError):
            faulty.dispatch(self.remote, build_call())
        self.assertEqual(len(calls.dispatched), 1)

    def send_faults(self, method, body):
        statuses = []
        environ = {
            "PATH_INFO": "/fault-injection",
            "REQUEST_METHOD": method,
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
        }
        app = FaultInjectionApp(None, self.injector)
        app(environ, lambda status, headers: statuses.append(status[:3]))
        return statuses[0]

    def test_only_faults_that_decode_are_set(self):
        faults = InjectedFaults((LinkFault(addresses=("127.0.0.1:9",)),))
        self.assertEqual(self.send_faults("POST", encode_json(faults)), "204")
        self.assertEqual(self.injector.faults, faults)
        self.assertEqual(self.send_faults("POST", b'{"links": 3}'), "400")
        self.assertEqual(self.send_faults("GET", b""), "405")
        self.assertEqual(self.injector.faults, faults)
