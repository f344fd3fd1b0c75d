import random
import unittest
from collections import Counter

from rattanworks.routing.choice import EndpointChooser
from rattanworks.settings.node import HostSettings
from rattanworks.tests.builders import build_record
from rattanworks.tests.fakes import FakeClock

CALLS = 400


def records(*domains):
    return tuple(
        build_record(f"node-{number}", failure_domain=domain)
        for number, domain in enumerate(domains)
    )


class ChoiceTests(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock(100.0)
        self.own_load = 0.0
        self.chooser = self.build("entry")

    def build(self, name):
        host = HostSettings(name, "qc-est", "qc-est-a")
        return EndpointChooser(
            host, self.clock, lambda: self.own_load, random.Random(5)
        )

    def counts(self, endpoints, calls=CALLS):
        return Counter(self.chooser.choose(endpoints).node for _ in range(calls))

    def test_nearer_endpoints_come_first_until_they_are_loaded(self):
        endpoints = records("qc-est-a", "qc-est-b", "qc-est-c")
        self.assertEqual(self.counts(endpoints), {"node-0": CALLS})
        for _ in range(6):
            self.chooser.started(endpoints[0])
        self.assertEqual(self.counts(endpoints)["node-0"], 0)

    def test_a_reported_load_diverts_calls_until_it_has_decayed(self):
        endpoints = records("qc-est-a", "qc-est-a")
        self.chooser.started(endpoints[0])
        self.chooser.ended(endpoints[0], load=2.0)
        self.assertEqual(self.counts(endpoints), {"node-1": CALLS})
        self.clock.advance(3.0)
        self.assertGreater(self.counts(endpoints)["node-0"], 0)

    def test_the_own_endpoint_is_preferred_while_it_has_capacity(self):
        self.chooser = self.build("node-1")
        endpoints = records("qc-est-a", "qc-est-b")
        self.assertEqual(self.counts(endpoints), {"node-1": CALLS})
        self.own_load = 1.0
        self.assertEqual(self.counts(endpoints), {"node-0": CALLS})

    def test_a_new_endpoint_starts_slowly(self):
        self.counts(records("qc-est-a", "qc-est-a"))
        endpoints = records("qc-est-a", "qc-est-a", "qc-est-a")
        early = self.counts(endpoints)["node-2"]
        self.clock.advance(6.0)
        late = self.counts(endpoints)["node-2"]
        self.assertLess(early * 2, late)
        self.assertGreater(early, 0)

    def test_an_unreachable_endpoint_is_avoided_at_once_and_longer_each_time(self):
        endpoints = records("qc-est-a", "qc-est-b")
        self.chooser.avoid(endpoints[0])
        self.assertEqual(self.counts(endpoints), {"node-1": CALLS})
        self.clock.advance(1.1)
        self.assertIn("node-0", self.counts(endpoints))
        self.chooser.avoid(endpoints[0])
        self.clock.advance(1.1)
        self.assertEqual(self.counts(endpoints), {"node-1": CALLS})

    def test_when_all_are_avoided_one_is_still_tried(self):
        endpoints = records("qc-est-a")
        self.chooser.avoid(endpoints[0])
        self.assertEqual(self.counts(endpoints), {"node-0": CALLS})

    def test_failing_endpoints_are_ejected_but_at_most_a_third(self):
        endpoints = records(*["qc-est-a"] * 6)
        for record in endpoints:
            for _ in range(10):
                self.chooser.started(record)
                self.chooser.ended(record, load=0.0, is_failed=True)
        self.assertEqual(len(self.counts(endpoints)), 4)

    def test_an_ejection_ends_and_grows_when_it_is_repeated(self):
        endpoints = records("qc-est-a", "qc-est-a")
        for seconds in (2.0, 4.0, 8.0):
            for _ in range(10):
                self.chooser.started(endpoints[0])
                self.chooser.ended(endpoints[0], load=0.0, is_failed=True)
            self.clock.advance(seconds - 0.1)
            self.assertEqual(self.counts(endpoints), {"node-1": CALLS})
            self.clock.advance(0.2)
            self.assertIn("node-0", self.counts(endpoints))

    def test_a_few_failures_among_many_calls_cause_no_ejection(self):
        endpoints = records("qc-est-a", "qc-est-a")
        for number in range(40):
            self.chooser.started(endpoints[0])
            self.chooser.ended(endpoints[0], load=0.0, is_failed=number % 4 == 0)
        self.assertIn("node-0", self.counts(endpoints))


class FartherTests(unittest.TestCase):
    """Overload: the near endpoint, or every endpoint, reports a full queue."""

    def choose(self, near_load, far_load, body_bytes=0, **options):
        clock = FakeClock(100.0)
        host = HostSettings("entry", "qc-est", "qc-est-a")
        chooser = EndpointChooser(host, clock, rng=random.Random(5))
        near, far = records("qc-est-a", "qc-est-b")
        for record, load in ((near, near_load), (far, far_load)):
            chooser.started(record)
            chooser.ended(record, load=load)
        chosen = chooser.choose((near, far), body_bytes=body_bytes, **options)
        return chosen and chosen.failure_domain

    def test_calls_stay_near_when_all_are_equally_loaded(self):
        self.assertEqual(self.choose(3.0, 2.8), "qc-est-a")

    def test_a_farther_endpoint_is_chosen_only_when_it_has_capacity(self):
        self.assertEqual(self.choose(6.0, 2.0), "qc-est-a")
        self.assertEqual(self.choose(6.0, 1.4), "qc-est-b")

    def test_the_load_of_one_route_does_not_divert_calls_of_another(self):
        self.assertEqual(self.choose(3.0, 0.9), "qc-est-b")
        self.assertEqual(self.choose(3.0, 0.9, route="checks"), "qc-est-a")

    def test_a_refused_call_goes_only_to_an_endpoint_with_capacity(self):
        self.assertIsNone(self.choose(3.0, 2.8, tried=["node-0"], needs_capacity=True))
        self.assertEqual(
            self.choose(3.0, 0.9, tried=["node-0"], needs_capacity=True), "qc-est-b"
        )

    def test_calls_go_to_a_farther_endpoint_that_has_capacity(self):
        self.assertEqual(self.choose(2.0, 0.3), "qc-est-b")

    def test_large_bodies_need_a_larger_margin_to_go_to_a_farther_endpoint(self):
        self.assertEqual(self.choose(2.0, 0.6, body_bytes=60_000), "qc-est-a")
        self.assertEqual(self.choose(2.0, 0.6), "qc-est-b")
        self.assertEqual(self.choose(3.0, 0.6, body_bytes=60_000), "qc-est-b")

    def test_an_endpoint_that_answers_slowly_gets_fewer_calls(self):
        clock = FakeClock(100.0)
        host = HostSettings("entry", "qc-est", "qc-est-a")
        chooser = EndpointChooser(host, clock, rng=random.Random(5))
        slow, fast = records("qc-est-a", "qc-est-a")
        for _ in range(100):
            for record, seconds in ((slow, 0.16), (fast, 0.07)):
                chooser.started(record)
                chooser.ended(record, load=0.5, seconds=seconds)
        chosen = Counter(chooser.choose((slow, fast)).node for _ in range(CALLS))
        self.assertEqual(chosen, {"node-1": CALLS})
