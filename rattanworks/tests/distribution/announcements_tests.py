import unittest

from rattanworks.distribution.announcements import MAX_ANNOUNCED, Announcements
from rattanworks.model.version import Head
from rattanworks.tests.fakes import FakeClock


class AnnouncementsTests(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.announcements = Announcements(self.clock)

    def announce(self, version):
        self.announcements.record(Head(version, f"hash-{version}"))

    def settle(self, version):
        self.announcements.settle(Head(version, f"hash-{version}"))

    def test_the_first_missing_version_says_for_how_long_the_node_is_behind(self):
        self.assertEqual(self.announcements.behind_seconds, 0.0)
        for version in (2, 5, 9):
            self.announce(version)
            self.clock.advance(1.0)
        self.assertEqual(self.announcements.behind_seconds, 3.0)
        self.settle(5)
        self.assertEqual(self.announcements.behind_seconds, 1.0)
        self.settle(9)
        self.assertEqual(self.announcements.behind_seconds, 0.0)
        self.assertEqual(self.announcements.newest.version, 9)

    def test_a_repeated_announcement_keeps_the_first_time(self):
        self.announce(2)
        self.clock.advance(1.0)
        self.announce(2)
        self.assertEqual(self.announcements.behind_since, 0.0)

    def test_a_long_series_keeps_its_first_and_its_newest_version(self):
        for version in range(1, 3 * MAX_ANNOUNCED):
            self.announce(version)
            self.clock.advance(1.0)
        self.assertEqual(self.announcements.behind_since, 0.0)
        self.assertEqual(self.announcements.newest.version, 3 * MAX_ANNOUNCED - 1)
        self.settle(3 * MAX_ANNOUNCED - 2)
        self.assertEqual(self.announcements.behind_seconds, 1.0)
