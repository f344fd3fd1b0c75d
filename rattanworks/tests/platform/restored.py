"""Base of tests in which the platform's store returns from an older copy."""

import unittest

from rattanworks.platform.store import PlatformStore
from rattanworks.tests.platform.standins import StandInPlatformStore


class RestoredStoreTestCase(unittest.TestCase):
    def setUp(self):
        self.platform = StandInPlatformStore()
        self.addCleanup(self.platform.close)
        self.store = self.new_store()

    def new_store(self):
        store = PlatformStore(self.platform.address, "mesh", 5.0, 1.0)
        self.addCleanup(store.close)
        return store

    def order_move(self, service, version):
        """Write an order to move a service as the operator does."""
        order = {"service": service, "targetVersion": version, "within": "20s"}
        self.platform.write_as_operator(f"op/rollout/{service}", order)

    def move_status(self, service):
        """Return the status of a service's order as the operator reads it, or None."""
        return self.platform.value_of(f"status/rollout/{service}")

    def write_others(self, count):
        """Write records of others, as when the store passes revisions again."""
        for number in range(count):
            self.platform.write_as_operator(f"servers/{number}", b"x")
