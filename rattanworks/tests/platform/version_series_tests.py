"""Configurations that the operator sends in quick succession for a long time."""

import threading
import unittest

from rattanworks.distribution.archive import decode_head
from rattanworks.distribution.configuration import Configuration
from rattanworks.distribution.keys import HEAD
from rattanworks.distribution.replicator import Replicator
from rattanworks.platform.store import PlatformStore
from rattanworks.tests.fakes import FakeClock, FakeControlPeers
from rattanworks.tests.platform.builders import build_routes
from rattanworks.tests.platform.standins import StandInPlatformStore

GAP_SECONDS = 0.25
VERSIONS = 120
FIRST_ROUTES = 40
LIMIT_SECONDS = 60.0


def build_series_configuration(number):
    """Return the record of version ``number``, which changes many of the routes."""
    timeout = f"{1000 + number}ms"
    return build_routes(
        *(
            {"name": f"r-{route}", "prefix": f"/r{route}/", "timeout": timeout}
            for route in range(FIRST_ROUTES + number)
        ),
        version=f"{number:08x}",
    )


class LongSeriesTests(unittest.TestCase):
    """A watcher that learns of each version from the store and has no other source."""

    def setUp(self):
        self.platform = StandInPlatformStore()
        self.addCleanup(self.platform.close)
        self.store = PlatformStore(self.platform.address, "mesh", 5.0, 1.0)
        self.addCleanup(self.store.close)
        self.clock = FakeClock()
        self.configuration = Configuration()
        self.replicator = Replicator(
            self.configuration, FakeControlPeers({}), self.store, self.clock
        )
        # A fetch that waits for the budget would wait for good by a fake clock.
        timer = threading.Timer(LIMIT_SECONDS, self.replicator.stop)
        timer.start()
        self.addCleanup(timer.cancel)

    def test_no_version_is_held_up_by_reads_that_the_store_never_sees(self):
        for number in range(1, VERSIONS + 1):
            self.platform.write_as_operator(
                "op/config", build_series_configuration(number)
            )
            self.replicator.handle_store_head(decode_head(self.store.get(HEAD).value))
            while (fetch := self.replicator.next_fetch()) is not None:
                self.replicator.pull(*fetch)
            self.assertEqual(self.configuration.head.version, number)
            self.clock.advance(GAP_SECONDS)
