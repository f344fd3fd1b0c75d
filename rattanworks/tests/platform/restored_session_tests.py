"""A whole node when the platform's store returns from an older copy."""

import unittest

from rattanworks.tests.platform.builders import one_service_configuration
from rattanworks.tests.platform.session import Session


class RestoredSessionTests(unittest.TestCase):
    def setUp(self):
        self.session = Session(self)
        self.platform = self.session.platform
        self.platform.write_as_operator("op/config", one_service_configuration())
        self.assertTrue(self.session.wait(lambda: self.session.version == 7))
        self.assertTrue(self.session.wait(self.session.is_ready))

    def service_keys(self):
        entries = self.platform.memory.list("").entries
        return [entry.key for entry in entries if "shared/services/" in entry.key]

    def role_keys(self):
        entries = self.platform.memory.list("").entries
        return [entry.key for entry in entries if "roles/watcher/" in entry.key]

    def test_the_node_writes_again_what_it_had_written(self):
        copy = self.platform.copy()
        self.assertEqual(self.session.send_heartbeat(), 200)
        self.assertTrue(self.session.wait(self.service_keys))
        self.assertTrue(self.session.wait(self.role_keys))
        self.platform.restore(copy)
        self.assertTrue(self.session.wait(self.role_keys))
        self.assertTrue(self.session.wait(self.service_keys))

    def test_versions_after_the_return_come_into_force_and_none_returns(self):
        copy = self.platform.copy()
        newer = one_service_configuration(version="0000000c")
        self.platform.write_as_operator("op/config", newer)
        self.assertTrue(self.session.wait(lambda: self.session.version == 12))
        self.platform.restore(copy)
        for number in range(20):
            self.platform.write_as_operator(f"servers/{number}", b"x")
        self.assertTrue(
            self.session.wait(lambda: self.session.daemon.node.store.era == 2)
        )
        self.assertEqual(self.session.version, 12)
        newest = one_service_configuration(version="0000000d")
        self.platform.write_as_operator("op/config", newest)
        self.assertTrue(self.session.wait(lambda: self.session.version == 13))


if __name__ == "__main__":
    unittest.main()
