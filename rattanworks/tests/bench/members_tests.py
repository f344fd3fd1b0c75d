import unittest
from types import SimpleNamespace

from rattanworks.bench.members import MembersBench
from rattanworks.bench.members_log import (
    MemberChange,
    NodeRun,
    Timeline,
    count_false_removals,
    seconds_to_see,
)

CHANGES = [
    MemberChange(10.0, "a", "x", "gone", 1),
    MemberChange(10.5, "b", "x", "gone", 1),
]


def process(*changes):
    lines = [
        f"time={time} event=member-changed member={member} state={state} "
        f"incarnation={incarnation} node=any"
        for time, member, state, incarnation in changes
    ]
    return SimpleNamespace(log=lines)


def timeline_of(*runs):
    timeline = Timeline()
    timeline.runs = list(runs)
    return timeline


class MembersLogTests(unittest.TestCase):
    def setUp(self):
        self.victim = NodeRun("x", process((1.0, "x", "joined", 7)))
        observer = NodeRun(
            "a", process((2.0, "x", "joined", 7), (10.0, "x", "gone", 7))
        )
        self.timeline = timeline_of(self.victim, observer)

    def test_removal_of_a_running_process_is_false(self):
        self.assertEqual(count_false_removals(self.timeline), 1)

    def test_removal_of_a_killed_or_suspended_process_is_not_false(self):
        self.victim.record_absence(8.0)
        self.assertEqual(count_false_removals(self.timeline), 0)
        self.victim.record_resume(9.0)
        self.assertEqual(count_false_removals(self.timeline), 1)

    def test_removal_within_a_probe_timeout_after_a_resume_is_not_false(self):
        self.victim.record_absence(4.0)
        self.victim.record_resume(9.98)
        self.assertEqual(count_false_removals(self.timeline), 0)

    def test_late_removal_of_an_earlier_incarnation_is_not_false(self):
        self.victim.record_absence(8.0)
        self.timeline.runs.append(NodeRun("x", process((9.0, "x", "joined", 8))))
        self.assertEqual(count_false_removals(self.timeline), 0)

    def test_seconds_count_from_the_event_to_each_observer(self):
        seconds = seconds_to_see(CHANGES, "x", "gone", 9.0, {"a", "b", "c"})
        self.assertEqual(seconds, {"a": 1.0, "b": 1.5})


class MembersRunTests(unittest.TestCase):
    def test_restarted_and_suspended_nodes_rejoin_without_false_removals(self):
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
