"""A backend server that dies, hangs or restarts beside a running node."""

import unittest

from rattanworks.bench.fleet import Place, running_fleet, running_store, wait_until

LIMIT_SECONDS = 30.0


class BackendPresenceTests(unittest.TestCase):
    def test_a_dead_or_hanging_server_is_noticed_without_calls(self):
        store = self.enterContext(running_store())
        fleet = self.enterContext(running_fleet(store))
        node = fleet.start_node(
            Place("catalogue-1", "qc-est", "qc-est-a", "catalogue", "v1", 6, 100)
        )
        fleet.wait_ready()

        def await_serving(count, what):
            wait_until(lambda: fleet.sees_serving(count), LIMIT_SECONDS, what)

        await_serving(1, "announced")
        node.backend.pause()
        await_serving(0, "a hanging server leaves")
        node.backend.resume()
        await_serving(1, "it returns with its next heartbeat")
        node.backend.kill()
        await_serving(0, "a dead server leaves")
        node.start_backend()
        await_serving(1, "its successor serves")
