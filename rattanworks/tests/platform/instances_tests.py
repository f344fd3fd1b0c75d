import json
import unittest

from hypothesis import given
from hypothesis import strategies as st

from rattanworks.admission.presence import Presence
from rattanworks.platform.instances import InstancesApp
from rattanworks.tests.fakes import FakeClock
from rattanworks.tests.platform.builders import build_heartbeat
from rattanworks.tests.platform.reports import send_report

HEARTBEAT_SECONDS = 1.5


class InstancesTests(unittest.TestCase):
    def setUp(self):
        self.reset()

    def reset(self):
        self.clock = FakeClock()
        self.events = []
        presence = Presence(
            lambda announcement: self.events.append(announcement.instance),
            lambda announcement: self.events.append("left"),
            self.clock,
        )
        self.app = InstancesApp(
            presence, self.clock, "catalogue", "127.0.0.1:1", 100, HEARTBEAT_SECONDS
        )

    def send(self, method, instance, content=b""):
        return send_report(self.app, method, instance, content)

    def send_heartbeat(self, instance="i-1", **changes):
        content = json.dumps(build_heartbeat(**changes)).encode()
        return self.send("PUT", instance, content)

    def test_a_late_heartbeat_does_not_bring_back_a_server_that_leaves(self):
        self.assertEqual(self.send_heartbeat(sequence=1), 200)
        self.assertEqual(self.send_heartbeat(sequence=3, state="draining"), 200)
        self.assertEqual(self.send_heartbeat(sequence=2), 200)
        self.assertEqual(self.send_heartbeat(sequence=4), 200)
        self.assertEqual(self.events, ["i-1", "left"])

    def test_a_departure_before_any_heartbeat_covers_earlier_starts(self):
        self.clock.advance(10.0)
        self.assertEqual(self.send("DELETE", "i-1"), 200)
        self.send_heartbeat(sequence=9, born=5000)
        self.assertEqual(self.events, [])
        self.send_heartbeat(sequence=1, born=11_000)
        self.assertEqual(self.events, ["i-1"])

    def test_an_instance_that_starts_again_may_restart_its_sequence(self):
        self.send_heartbeat(sequence=9, born=1000)
        self.send("DELETE", "i-1")
        self.send_heartbeat(sequence=1, born=2000)
        self.send_heartbeat(sequence=10, born=1000)
        self.assertEqual(self.events, ["i-1", "left", "i-1"])

    def test_a_heartbeat_of_an_earlier_server_does_not_replace_the_current_one(self):
        self.send_heartbeat("i-1", born=1000)
        self.send_heartbeat("i-2", born=2000)
        self.send_heartbeat("i-1", born=1000, sequence=2)
        self.assertEqual(self.events, ["i-1", "i-2"])

    def test_after_a_clock_step_back_a_new_server_replaces_a_silent_one(self):
        self.send_heartbeat("i-1", born=9000)
        self.send_heartbeat("i-2", born=2000)
        self.clock.advance(3 * HEARTBEAT_SECONDS)
        self.send_heartbeat("i-2", born=2000, sequence=2)
        self.assertEqual(self.events, ["i-1", "i-2"])

    def send_heartbeats(self, count, sequence, **changes):
        """Send heartbeats at their interval; return whether the last one counted."""
        for number in range(count):
            self.clock.advance(HEARTBEAT_SECONDS)
            self.events.clear()
            self.send_heartbeat(sequence=sequence + number, **changes)
        return self.events == ["i-1"]

    def test_one_odd_report_does_not_silence_the_server_for_good(self):
        for odd in (
            {"sequence": 2**59},
            {"born": 3_600_000},
            {"born": 3_600_000, "state": "draining", "sequence": 2**59},
        ):
            with self.subTest(odd):
                self.reset()
                self.assertTrue(self.send_heartbeats(3, 1))
                self.send_heartbeat(**odd)
                self.assertTrue(self.send_heartbeats(3, 4))
                self.assertTrue(self.send_heartbeats(1, 7))

    def test_two_odd_reports_do_not_silence_the_server_for_good(self):
        self.send_heartbeats(3, 1)
        self.send_heartbeat(sequence=2**59)
        self.send_heartbeat(sequence=2**58)
        self.send_heartbeat("i-9", sequence=7, born=500)
        self.assertTrue(self.send_heartbeats(3, 4))

    def test_delayed_reports_of_an_earlier_start_do_not_return(self):
        self.send_heartbeat(sequence=1, born=1000)
        self.send_heartbeat(sequence=1, born=2000)
        self.clock.advance(3 * HEARTBEAT_SECONDS)
        self.events.clear()
        for sequence in range(2, 9):
            self.send_heartbeat(sequence=sequence, born=1000)
        self.assertEqual(self.events, [])

    def test_delayed_reports_do_not_displace_a_server_that_reports(self):
        for number in range(1, 9):
            self.send_heartbeat(sequence=number, born=2000)
            self.clock.advance(HEARTBEAT_SECONDS)
            self.events.clear()
            self.send_heartbeat(sequence=number, born=1000)
            self.assertEqual(self.events, [])

    def test_a_server_that_goes_on_reporting_after_its_departure_stays_away(self):
        self.clock.advance(10.0)
        self.send_heartbeats(2, 1)
        self.send("DELETE", "i-1")
        self.assertFalse(self.send_heartbeats(6, 3))
        self.reset()
        self.clock.advance(10.0)
        self.send("DELETE", "i-1")
        self.assertFalse(self.send_heartbeats(6, 3))

    def test_a_server_that_starts_again_after_a_clock_step_back_returns(self):
        self.send_heartbeats(2, 1, born=9000)
        self.send("DELETE", "i-1")
        self.assertTrue(self.send_heartbeats(4, 1, born=2000))

    def test_a_server_that_leaves_is_believed_whichever_report_is_later(self):
        self.send_heartbeat(sequence=2**59)
        self.send_heartbeat(sequence=5, state="draining")
        self.assertEqual(self.events, ["i-1", "left"])

    def test_invalid_reports_and_those_of_other_servers_are_refused(self):
        for changes in (
            {"service": "orders"},
            {"address": "127.0.0.1:9"},
            {"state": "unheard-of"},
            {"slots": "six"},
            {"slots": 0},
            {"sequence": None},
        ):
            with self.subTest(changes):
                self.assertEqual(self.send_heartbeat(**changes), 400)
        self.assertEqual(self.send("GET", "i-1"), 404)
        self.assertEqual(self.events, [])

    def test_numbers_and_names_that_peers_cannot_be_sent_are_refused(self):
        for changes in (
            {"sequence": 10**40},
            {"sequence": 2**62},
            {"sequence": -1},
            {"born": 10**40},
            {"born": 2**62},
            {"born": 10**15},
            {"born": -1},
            {"slots": 10**40},
            {"slots": 2**62},
            {"version": "v" * 1000},
            {"version": ""},
            {"zone": 5},
            {"warmupLeft": {"ms": 0}},
        ):
            with self.subTest(changes):
                self.assertEqual(self.send_heartbeat(**changes), 400)
        self.assertEqual(self.events, [])
        self.assertEqual(self.send_heartbeat(), 200)
        self.assertEqual(self.events, ["i-1"])

    def test_an_id_that_no_header_can_carry_is_refused(self):
        for instance in ("", "i-1\r\nX-Other: 1", "i 1", "i-\xe9", "i" * 1000):
            with self.subTest(instance):
                self.assertEqual(self.send_heartbeat(instance), 400)
                self.assertEqual(self.send("DELETE", instance), 400)
        self.assertEqual(self.events, [])

    def test_a_report_of_too_many_bytes_is_refused(self):
        self.assertEqual(self.send_heartbeat(other="x" * 100_000), 400)

    @given(st.binary(max_size=200))
    def test_no_bytes_crash_the_listener(self, content):
        self.reset()
        self.assertEqual(self.send("PUT", "i-1", content), 400)
        self.assertEqual(self.events, [])
