"""Calls at an entry when the new version refuses or cannot be reached."""

import types
import unittest

from rattanworks.exceptions import CallNotSentError
from rattanworks.model.call import Answer, Outcome, refusal, unknown_outcome
from rattanworks.routing.choice import EndpointChooser
from rattanworks.routing.entry import CallerRequest, Entry
from rattanworks.settings.node import HostSettings
from rattanworks.tests.builders import build_tables
from rattanworks.tests.fakes import FakeClock
from rattanworks.tests.moves.world import endpoints, running_state, services_table
from rattanworks.utils.precedence_table import PrecedenceTable


class VersionedPeerCalls:
    def __init__(self, new_version):
        self._new_version = new_version
        self.versions = []

    def dispatch(self, record, call):
        self.versions.append(call.version)
        if call.version == "v1":
            return Answer(200, body=b"old")
        if isinstance(self._new_version, Exception):
            raise self._new_version
        return self._new_version


def build_entry(peer_calls):
    records = PrecedenceTable(lambda record: record.node)
    records.merge(endpoints())
    members = types.SimpleNamespace(by_node=records.rows_by_name, table=records)
    services = services_table()
    services.merge((running_state(share=1.0),))
    tables = build_tables(members, services)
    owner = types.SimpleNamespace(owns=lambda record: False, repeat_share=0.0)
    clock = FakeClock()
    chooser = EndpointChooser(HostSettings("entry", "qc-est", "qc-est-a"), clock)
    return Entry(tables, chooser, owner, peer_calls, None, clock)


def ask(peer_calls, method="GET"):
    entry = build_entry(peer_calls)
    unreachable = []
    entry.observer = types.SimpleNamespace(record_unreachable=unreachable.append)
    answer = entry.handle(
        CallerRequest("id", "shop", method, "/catalogue/1", "/", (), b"", 5.0)
    )
    return answer, unreachable


class FallbackTests(unittest.TestCase):
    def test_a_refused_call_goes_to_the_old_version(self):
        peers = VersionedPeerCalls(refusal(503, "fails on this route"))
        answer, _ = ask(peers, "POST")
        self.assertEqual(answer.body, b"old")
        self.assertEqual(peers.versions[-1], "v1")

    def test_a_call_that_may_have_run_is_not_sent_again(self):
        peers = VersionedPeerCalls(unknown_outcome(502, "broke off"))
        answer, _ = ask(peers, "POST")
        self.assertEqual(answer.outcome, Outcome.UNKNOWN)
        self.assertEqual(peers.versions, ["v2"])

    def test_unreachable_endpoints_are_reported_to_the_observer(self):
        answer, unreachable = ask(VersionedPeerCalls(CallNotSentError("down")))
        self.assertEqual(answer.body, b"old")
        self.assertEqual({record.version for record in unreachable}, {"v2"})


if __name__ == "__main__":
    unittest.main()
