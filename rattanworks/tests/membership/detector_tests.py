import unittest

from rattanworks.membership.removal import SilenceEvidence, may_remove
from rattanworks.model.control import Reachability, SilenceCheck
from rattanworks.tests.membership.mesh import SETTINGS, Mesh

DOMAINS = [f"{domain}{number}" for domain in "abc" for number in (1, 2, 3, 4)]
A, B, C = DOMAINS[:4], DOMAINS[4:8], DOMAINS[8:]
HOLD_SECONDS = SETTINGS.domain_hold_seconds + 1


class RemovalRuleTests(unittest.TestCase):
    def may_remove(self, domain="", others="", majority=True, **changes):
        replies_by_letter = {
            "r": Reachability.REACHABLE,
            "s": Reachability.SILENT,
            "u": Reachability.UNKNOWN,
        }
        fields = {
            "domain_replies": tuple(replies_by_letter[letter] for letter in domain),
            "other_replies": tuple(replies_by_letter[letter] for letter in others),
            "is_domain_peer": False,
            "has_domain_peers": True,
            "is_only_peer": False,
            "has_hold_elapsed": False,
            "reaches_majority": lambda: majority,
        }
        return may_remove(SilenceEvidence(**{**fields, **changes}))

    def test_the_rule(self):
        hold_elapsed = {"has_hold_elapsed": True}
        cases = (
            (True, {"domain": "s"}),
            (False, {"domain": "sr"}),
            (False, {"domain": "s", "others": "r"}),
            (False, {"domain": "u", "others": "u"}),
            (False, {"others": "ss"}),
            (False, {"others": ""}),
            (True, {"others": "s", "is_domain_peer": True}),
            (False, {"others": "", "is_domain_peer": True}),
            (True, {"others": "ss", **hold_elapsed}),
            (False, {"others": "ss", "majority": False, **hold_elapsed}),
            (True, {"others": "s", "has_domain_peers": False}),
            (False, {"others": "s", "has_domain_peers": False, "majority": False}),
            (True, {"is_only_peer": True, **hold_elapsed}),
            (False, {"is_only_peer": True}),
        )
        for expected, case in cases:
            with self.subTest(**case):
                self.assertEqual(self.may_remove(**case), expected)


class DetectorTests(unittest.TestCase):
    def setUp(self):
        self.mesh = Mesh(DOMAINS)
        self.mesh.advance_time(5)

    def tearDown(self):
        for node in self.mesh.nodes_by_name.values():
            node.detector.stop()

    def evaluate_until_removed(self, observer, suspect, tries=30):
        for _ in range(tries):
            if self.mesh.evaluate(observer, suspect):
                return True
            self.mesh.advance_time(1)
        return False

    def test_a_dead_node_is_removed_and_a_live_one_is_not(self):
        self.mesh.kill("a1")
        self.assertTrue(self.mesh.evaluate("b1", "a1"))
        self.assertFalse(self.mesh["b1"].considers_present("a1"))
        self.assertFalse(self.mesh.evaluate("b1", "a2"))

    def test_a_one_way_cut_removes_nobody(self):
        for senders, receivers in ((["a1"], ["b1"]), (["b1"], ["a1"]), (A, B)):
            self.mesh.network.cuts.clear()
            self.mesh.cut(senders, receivers)
            self.mesh.advance_time(HOLD_SECONDS)
            for observer, suspect in (("a1", "b1"), ("b1", "a1")):
                self.assertFalse(self.mesh.evaluate(observer, suspect))

    def test_a_failure_domain_cut_off_is_removed_whole_after_the_hold(self):
        self.mesh.cut(A, B + C)
        self.mesh.cut(B + C, A)
        for suspect in A:
            self.assertFalse(self.mesh.evaluate("b1", suspect))
        self.mesh.advance_time(HOLD_SECONDS)
        for suspect in A:
            self.assertTrue(self.mesh.evaluate("b1", suspect))

    def test_the_side_that_was_cut_off_removes_nobody(self):
        self.mesh.cut(A, B + C)
        self.mesh.cut(B + C, A)
        for _ in range(3):
            self.mesh.advance_time(HOLD_SECONDS)
            for suspect in B + C:
                self.assertFalse(self.mesh.evaluate("a1", suspect))

    def test_a_short_cut_starts_no_removal_after_it_healed(self):
        self.mesh.cut(A, B + C)
        self.mesh.evaluate("b1", "a1")
        self.mesh.network.cuts.clear()
        self.mesh.advance_time(HOLD_SECONDS)
        self.assertFalse(self.mesh.evaluate("b1", "a2"))
        self.mesh.kill(*A)
        self.assertFalse(self.mesh.evaluate("b1", "a1"))

    def test_after_a_mass_failure_survivors_remove_the_dead_and_keep_each_other(self):
        dead = [name for name in DOMAINS if name not in ("a1", "b1", "c1")]
        survivors = ["a1", "b1", "c1"]
        self.mesh.kill(*dead)
        for observer in survivors:
            for suspect in dead:
                with self.subTest(observer=observer, suspect=suspect):
                    self.assertTrue(self.evaluate_until_removed(observer, suspect))
            for suspect in survivors:
                self.assertFalse(self.mesh.evaluate(observer, suspect))

    def test_a_single_survivor_of_many_removes_nobody(self):
        self.mesh.kill(*DOMAINS[1:])
        self.mesh.advance_time(HOLD_SECONDS)
        self.assertFalse(self.evaluate_until_removed("a1", "a2", tries=3))
        self.assertFalse(self.evaluate_until_removed("a1", "b1", tries=3))

    def test_the_last_of_two_removes_the_other_after_the_hold(self):
        mesh = self.mesh = Mesh(["a1", "a2"])
        mesh.advance_time(5)
        mesh.kill("a2")
        self.assertFalse(mesh.evaluate("a1", "a2"))
        mesh.advance_time(HOLD_SECONDS)
        self.assertTrue(mesh.evaluate("a1", "a2"))

    def test_a_node_just_resumed_neither_suspects_nor_agrees(self):
        paused = self.mesh["b1"]
        self.mesh.kill("a1")
        paused.clock.advance(10)
        check = SilenceCheck("c1", "a1", 1, self.mesh["a1"].address)
        self.assertEqual(
            paused.detector.receive_check(check).verdict, Reachability.UNKNOWN
        )
        self.assertFalse(self.mesh.evaluate("b1", "a1"))
        paused.guard.tick()
        self.assertFalse(self.mesh.evaluate("b1", "a1"))
        paused.guard.record_sync()
        self.assertFalse(self.mesh.evaluate("b1", "a1"))
        self.mesh.advance_time(SETTINGS.suspect_seconds + 1)
        self.assertTrue(self.mesh.evaluate("b1", "a1"))

    def test_another_node_at_the_address_does_not_answer_for_the_dead(self):
        handlers = self.mesh.network.handlers_by_address
        handlers[self.mesh["a1"].address] = handlers[self.mesh["c4"].address]
        self.assertTrue(self.mesh.evaluate("b1", "a1"))

    def test_a_later_start_is_not_removed_by_an_evaluation_of_the_earlier(self):
        self.mesh.kill("a1")
        node = self.mesh["b1"]
        record = node.members.by_node["a1"]
        node.members.table.merge((self.mesh["a1"].members.own,))
        self.mesh["a1"].members.raise_incarnation_above(record.incarnation)
        node.members.table.merge((self.mesh["a1"].members.own,))
        self.assertFalse(node.detector.evaluate(record))
        self.assertTrue(node.considers_present("a1"))

    def checks_sent(self, observer):
        own = self.mesh[observer].address
        return sum(
            sender == own and isinstance(message, SilenceCheck)
            for sender, _, message in self.mesh.network.requests
        )

    def watch(self, observer, suspects, seconds):
        """Let one node watch suspects; return the number of checks that it sent."""
        node = self.mesh[observer]
        records = [node.members.by_node[name] for name in suspects]
        before = self.checks_sent(observer)
        for _ in range(seconds):
            self.mesh.advance_time(1)
            node.detector.evaluate_overdue(records)
            node.detector.wait_for_evaluations()
        return self.checks_sent(observer) - before

    def test_a_cut_costs_few_checks_while_it_lasts(self):
        self.mesh.cut(A, B + C)
        self.mesh.cut(B + C, A)
        self.assertLess(self.watch("b1", A, seconds=24), 2 * 24 / 3 + 10)

    def test_a_broken_link_costs_few_checks_while_it_lasts(self):
        self.mesh.cut(["a1"], ["b1"])
        self.assertLess(self.watch("b1", ["a1"], seconds=30), 4 * 30 / 5 + 4)
