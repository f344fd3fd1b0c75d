"""Which of a server's reports the owner follows."""

import unittest
from dataclasses import replace

from rattanworks.admission.owner import Owner
from rattanworks.admission.presence import Presence
from rattanworks.membership.members import Members
from rattanworks.model.announcement import Report
from rattanworks.model.endpoint import EndpointState
from rattanworks.tests.builders import build_announcement, build_record
from rattanworks.tests.fakes import FakeBackendServer, FakeClock

HEARTBEAT_SECONDS = 1.5
STARTED_AT = 1000
SERVER = replace(
    build_announcement(),
    instance="i-1",
    heartbeat_seconds=HEARTBEAT_SECONDS,
    started_at=STARTED_AT,
)


class PresenceTests(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.members = Members(build_record(state=EndpointState.JOINED))
        self.owner = Owner(self.members, None, None, self.clock, 4)
        self.presence = Presence(self.serve, self.owner.leave, self.clock)

    def serve(self, announcement):
        if not self.owner.renew(announcement):
            self.owner.attach(FakeBackendServer(), announcement)

    @property
    def state(self):
        return self.members.own.state

    def report(self, sequence, is_leaving=False, **changes):
        announcement = replace(SERVER, **changes)
        self.presence.receive(Report(announcement, sequence, is_leaving))

    def test_a_server_returns_after_another_writer_reported_its_departure(self):
        self.report(1)
        self.report(1, is_leaving=True, started_at=STARTED_AT + 3_600_000)
        self.assertEqual(self.state, EndpointState.LEAVING)
        for sequence in range(2, 5):
            self.clock.advance(HEARTBEAT_SECONDS)
            self.report(sequence)
        self.assertEqual(self.state, EndpointState.SERVING)

    def test_a_server_that_left_is_not_served_again(self):
        self.report(1)
        self.report(2, is_leaving=True)
        for sequence in range(3, 9):
            self.clock.advance(HEARTBEAT_SECONDS)
            self.report(sequence)
        self.assertEqual(self.state, EndpointState.LEAVING)
