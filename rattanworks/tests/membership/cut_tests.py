import random
import unittest

from rattanworks.bench.fleet import Place, running_fleet, running_store, wait_until
from rattanworks.bench.members_faults import MembersFaultContext
from rattanworks.bench.members_log import GONE, Timeline

TIMEOUT_SECONDS = 60.0
DOMAINS = ("a", "b", "c")


class LongCutTests(unittest.TestCase):
    """A network partition of real processes that outlasts a short hold time."""

    def setUp(self):
        store = self.enterContext(running_store())
        self.fleet = self.enterContext(running_fleet(store))
        self.fleet.membership_settings = "domain_hold_seconds = 1\n"
        places = [
            Place(f"{domain}{number}", "r", domain, "", "v1", 6, 100)
            for domain in DOMAINS
            for number in (1, 2)
        ]
        self.fleet.start_all(places)
        self.fleet.wait_ready()
        self.timeline = Timeline()
        for node in self.fleet.nodes:
            self.timeline.add_run(node)
        self.stage = MembersFaultContext(
            self.fleet, store, random.Random(1), self.timeline
        )
        self.wait(self.stage.all_know_running, "members known")

    def wait(self, condition, what):
        wait_until(condition, TIMEOUT_SECONDS, what)

    def members_seen_gone_by(self, observers):
        return {
            sight.member
            for sight in self.timeline.member_changes()
            if sight.state == GONE and sight.observer[0] in observers
        }

    def test_the_minority_is_removed_whole_and_rejoins_by_itself(self):
        self.fleet.cut({"a"}, {"b", "c"})
        self.wait(
            lambda: self.members_seen_gone_by("bc") == {"a1", "a2"},
            "a failure domain removed",
        )
        self.fleet.heal()
        self.wait(self.stage.all_know_running, "all known again")
        self.assertEqual(self.members_seen_gone_by("abc"), {"a1", "a2"})
