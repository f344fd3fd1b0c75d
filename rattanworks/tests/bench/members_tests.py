import unittest
from types import SimpleNamespace

from rattanworks.bench.members import MembersBench
from rattanworks.bench.members_log import (
    MemberChange,
    Run,
    Timeline,
    count_false_removals,
    seconds_to_see,
)

SIGHTS = [
    MemberChange(10.0, "a", "x", "gone", 1),
    MemberChange(10.5, "b", "x", "gone", 1),
]


def process(*sights):
    lines = [
        f"time={time} event=member-changed member={member} state={state} "
        f"incarnation={incarnation} node=any"
        for time, member, state, incarnation in sights
    ]
    return SimpleNamespace(log=lines)


def timeline_of(*runs):
    timeline = Timeline()
    timeline.runs = list(runs)
    return timeline


class MembersLogTests(unittest.TestCase):
    def setUp(self):
        self.victim = Run("x", process((1.0, "x", "joined", 7)))
        observer = Run("a", process((2.0, "x", "joined", 7), (10.0, "x", "gone", 7)))
        self.timeline = timeline_of(self.victim, observer)

    def test_the_removal_of_a_live_run_is_false(self):
        self.assertEqual(count_false_removals(self.timeline), 1)

    def test_the_removal_of_a_dead_or_frozen_run_is_not(self):
        self.victim.left(8.0)
        self.assertEqual(count_false_removals(self.timeline), 0)
        self.victim.came_back(9.0)
        self.assertEqual(count_false_removals(self.timeline), 1)

    def test_the_removal_on_probes_that_a_frozen_run_left_unanswered_is_not(self):
        self.victim.left(4.0)
        self.victim.came_back(9.98)
        self.assertEqual(count_false_removals(self.timeline), 0)

    def test_the_late_removal_of_an_earlier_run_is_not(self):
        self.victim.left(8.0)
        self.timeline.runs.append(Run("x", process((9.0, "x", "joined", 8))))
        self.assertEqual(count_false_removals(self.timeline), 0)

    def test_seconds_count_from_the_event_to_each_observer(self):
        seconds = seconds_to_see(SIGHTS, "x", "gone", 9.0, {"a", "b", "c"})
        self.assertEqual(seconds, {"a": 1.0, "b": 1.5})


class MembersRunTests(unittest.TestCase):
    def test_a_herd_restarted_and_nodes_paused_come_back_and_harm_nobody(self):
        arguments = SimpleNamespace(
            nodes=6,
            failure_domains=3,
            idle_seconds=0.5,
            faults="restart-storm,pause",
            seed=1,
        )
        figures = MembersBench().run(arguments).figures
        self.assertEqual(figures["false_removals"], 0)
        self.assertEqual(figures["leaving_not_seen"], 0)
        self.assertEqual(figures["not_settled_in_time"], "")
