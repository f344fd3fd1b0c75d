import math
import unittest

from rattanworks.node.lifecycle import Lifecycle, Phase
from rattanworks.node.stopping import plan_stop
from rattanworks.settings.node import DrainSettings

BEGAN = 1000.0


class LifecycleTests(unittest.TestCase):
    def test_a_draining_node_accepts_calls_that_had_begun_to_arrive(self):
        lifecycle = Lifecycle()
        before = BEGAN - 1.0
        self.assertFalse(lifecycle.accepts_call(before, math.inf))
        lifecycle.advance(Phase.READY)
        self.assertTrue(lifecycle.accepts_call(before + 100.0, math.inf))
        lifecycle.begin_stop(plan_stop(BEGAN, DrainSettings(30.0)))
        self.assertTrue(lifecycle.accepts_call(before, math.inf))
        self.assertFalse(lifecycle.accepts_call(BEGAN + 100.0, math.inf))
        self.assertTrue(lifecycle.serves_local)
        lifecycle.advance(Phase.STOPPED)
        self.assertFalse(lifecycle.accepts_call(before, math.inf))
        self.assertFalse(lifecycle.serves_local)
