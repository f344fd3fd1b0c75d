import unittest

from rattanworks.membership.removal import SilenceCase, may_remove
from rattanworks.model.control import Reachability, SilenceCheck
from rattanworks.tests.membership.mesh import SETTINGS, Mesh

DOMAINS = [f"{domain}{number}" for domain in "abc" for number in (1, 2, 3, 4)]
A, B, C = DOMAINS[:4], DOMAINS[4:8], DOMAINS[8:]
HOLD_SECONDS = SETTINGS.domain_hold_seconds + 1


class RemovalRuleTests(unittest.TestCase):
    def may(self, mates="", others="", majority=True, **changes):
        verdicts = {
            "r": Reachability.REACHABLE,
            "s": Reachability.SILENT,
            "u": Reachability.UNKNOWN,
        }
        fields = {
            "mate_verdicts": tuple(verdicts[letter] for letter in mates),
            "other_verdicts": tuple(verdicts[letter] for letter in others),
            "is_mate": False,
            "has_mates": True,
            "is_only_peer": False,
            "is_held_long_enough": False,
            "reaches_majority": lambda: majority,
        }
        return may_remove(SilenceCase(**{**fields, **changes}))

    def test_the_rule(self):
        held = {"is_held_long_enough": True}
        cases = (
            (True, {"mates": "s"}),
            (False, {"mates": "sr"}),
            (False, {"mates": "s", "others": "r"}),
            (False, {"mates": "u", "others": "u"}),
            (False, {"others": "ss"}),
            (False, {"others": ""}),
            (True, {"others": "s", "is_mate": True}),
            (False, {"others": "", "is_mate": True}),
            (True, {"others": "ss", **held}),
            (False, {"others": "ss", "majority": False, **held}),
            (True, {"others": "s", "has_mates": False}),
            (False, {"others": "s", "has_mates": False, "majority": False}),
            (True, {"is_only_peer": True, **held}),
            (False, {"is_only_peer": True}),
        )
        for expected, case in cases:
            with self.subTest(**case):
                self.assertEqual(self.may(**case), expected)


class DetectorTests(unittest.TestCase):
    def setUp(self):
        self.mesh = Mesh(DOMAINS)
        self.mesh.pass_time(5)

    def tearDown(self):
        for node in self.mesh.nodes_by_name.values():
            node.detector.stop()

    def judge_until_removed(self, judge, suspect, tries=30):
        for _ in range(tries):
            if self.mesh.judge(judge, suspect):
                return True
            self.mesh.pass_time(1)
        return False

    def test_a_dead_node_is_removed_and_a_live_one_is_not(self):
        self.mesh.kill("a1")
        self.assertTrue(self.mesh.judge("b1", "a1"))
        self.assertFalse(self.mesh["b1"].holds_present("a1"))
        self.assertFalse(self.mesh.judge("b1", "a2"))

    def test_a_one_way_cut_removes_nobody(self):
        for senders, receivers in ((["a1"], ["b1"]), (["b1"], ["a1"]), (A, B)):
            self.mesh.network.cuts.clear()
            self.mesh.cut(senders, receivers)
            self.mesh.pass_time(HOLD_SECONDS)
            for judge, suspect in (("a1", "b1"), ("b1", "a1")):
                self.assertFalse(self.mesh.judge(judge, suspect))

    def test_a_failure_domain_cut_off_is_held_and_then_removed_whole(self):
        self.mesh.cut(A, B + C)
        self.mesh.cut(B + C, A)
        for suspect in A:
            self.assertFalse(self.mesh.judge("b1", suspect))
        self.mesh.pass_time(HOLD_SECONDS)
        for suspect in A:
            self.assertTrue(self.mesh.judge("b1", suspect))

    def test_the_side_that_was_cut_off_removes_nobody(self):
        self.mesh.cut(A, B + C)
        self.mesh.cut(B + C, A)
        for _ in range(3):
            self.mesh.pass_time(HOLD_SECONDS)
            for suspect in B + C:
                self.assertFalse(self.mesh.judge("a1", suspect))

    def test_a_short_cut_starts_no_removal_after_it_healed(self):
        self.mesh.cut(A, B + C)
        self.mesh.judge("b1", "a1")
        self.mesh.network.cuts.clear()
        self.mesh.pass_time(HOLD_SECONDS)
        self.assertFalse(self.mesh.judge("b1", "a2"))
        self.mesh.kill(*A)
        self.assertFalse(self.mesh.judge("b1", "a1"))

    def test_after_a_herd_death_survivors_remove_the_dead_and_keep_each_other(self):
        dead = [name for name in DOMAINS if name not in ("a1", "b1", "c1")]
        survivors = ["a1", "b1", "c1"]
        self.mesh.kill(*dead)
        for judge in survivors:
            for suspect in dead:
                with self.subTest(judge=judge, suspect=suspect):
                    self.assertTrue(self.judge_until_removed(judge, suspect))
            for suspect in survivors:
                self.assertFalse(self.mesh.judge(judge, suspect))

    def test_a_lonely_survivor_of_many_removes_nobody(self):
        self.mesh.kill(*DOMAINS[1:])
        self.mesh.pass_time(HOLD_SECONDS)
        self.assertFalse(self.judge_until_removed("a1", "a2", tries=3))
        self.assertFalse(self.judge_until_removed("a1", "b1", tries=3))

    def test_the_last_of_two_removes_the_other_after_the_hold(self):
        mesh = self.mesh = Mesh(["a1", "a2"])
        mesh.pass_time(5)
        mesh.kill("a2")
        self.assertFalse(mesh.judge("a1", "a2"))
        mesh.pass_time(HOLD_SECONDS)
        self.assertTrue(mesh.judge("a1", "a2"))

    def test_a_node_just_resumed_neither_judges_nor_agrees(self):
        paused = self.mesh["b1"]
        self.mesh.kill("a1")
        paused.clock.advance(10)
        check = SilenceCheck("c1", "a1", 1, self.mesh["a1"].address)
        self.assertEqual(
            paused.detector.receive_check(check).verdict, Reachability.UNKNOWN
        )
        self.assertFalse(self.mesh.judge("b1", "a1"))
        paused.guard.tick()
        self.assertFalse(self.mesh.judge("b1", "a1"))
        paused.guard.learned()
        self.assertFalse(self.mesh.judge("b1", "a1"))
        self.mesh.pass_time(SETTINGS.suspect_seconds + 1)
        self.assertTrue(self.mesh.judge("b1", "a1"))

    def test_another_node_at_the_address_does_not_answer_for_the_dead(self):
        handlers = self.mesh.network.handlers_by_address
        handlers[self.mesh["a1"].address] = handlers[self.mesh["c4"].address]
        self.assertTrue(self.mesh.judge("b1", "a1"))

    def test_a_later_start_is_not_removed_by_a_judgement_of_the_earlier(self):
        self.mesh.kill("a1")
        node = self.mesh["b1"]
        record = node.members.by_node["a1"]
        node.members.table.merge((self.mesh["a1"].members.own,))
        self.mesh["a1"].members.rise_above(record.incarnation)
        node.members.table.merge((self.mesh["a1"].members.own,))
        self.assertFalse(node.detector.judge(record))
        self.assertTrue(node.holds_present("a1"))

    def checks_sent(self, judge):
        own = self.mesh[judge].address
        return sum(
            sender == own and isinstance(message, SilenceCheck)
            for sender, _, message in self.mesh.network.requests
        )

    def watch(self, judge, suspects, seconds):
        """Let one node watch suspects for a time; return the checks it sent."""
        node = self.mesh[judge]
        records = [node.members.by_node[name] for name in suspects]
        before = self.checks_sent(judge)
        for _ in range(seconds):
            self.mesh.pass_time(1)
            node.detector.check(records)
            node.detector.settle()
        return self.checks_sent(judge) - before

    def test_a_cut_costs_few_checks_while_it_lasts(self):
        self.mesh.cut(A, B + C)
        self.mesh.cut(B + C, A)
        self.assertLess(self.watch("b1", A, seconds=24), 2 * 24 / 3 + 10)

    def test_a_broken_link_costs_few_checks_while_it_lasts(self):
        self.mesh.cut(["a1"], ["b1"])
        self.assertLess(self.watch("b1", ["a1"], seconds=30), 4 * 30 / 5 + 4)
