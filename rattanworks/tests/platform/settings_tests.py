import tempfile
import unittest
from pathlib import Path

from rattanworks.exceptions import InvalidInputGroup
from rattanworks.platform.settings import load_platform_settings
from rattanworks.tests.platform.builders import build_settings_text

MEGABYTE = 1000 * 1000
DEFAULT_LARGE_BODIES_BYTES = 128 * 1024 * 1024
# Memory of a node of the design size, see docs/CAPACITY.md.
RESIDENT_BYTES = 91 * MEGABYTE


class PlatformSettingsTests(unittest.TestCase):
    def load(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.toml"
            path.write_text(text)
            return load_platform_settings(path)

    def node(self, **fields):
        return self.load(build_settings_text(**fields)).node

    def test_large_bodies_leave_enough_memory_for_the_node_of_a_small_host(self):
        for memory_mb in (200, 300, 552):
            with self.subTest(memory_mb=memory_mb):
                bodies_bytes = self.node(memory_mb=memory_mb).traffic.large_bodies_bytes
                self.assertLess(bodies_bytes + RESIDENT_BYTES, memory_mb * MEGABYTE)
                self.assertEqual(
                    bodies_bytes,
                    min(DEFAULT_LARGE_BODIES_BYTES, memory_mb * MEGABYTE // 4),
                )

    def test_without_a_known_memory_the_default_applies(self):
        self.assertEqual(
            self.node().traffic.large_bodies_bytes, DEFAULT_LARGE_BODIES_BYTES
        )

    def test_numbers_out_of_range_are_refused(self):
        for old, new in (
            ("grace=2s", f"grace={'9' * 100}s"),
            ("retryBudgetRatio=0.2", "retryBudgetRatio=nan"),
            ("budgetSlack=58", "budgetSlack=1e999"),
            ('heartbeat = "30s"', f'heartbeat = "{"9" * 100}s"'),
        ):
            with self.subTest(new[:40]), self.assertRaises(InvalidInputGroup):
                self.load(build_settings_text().replace(old, new))

    def test_a_stop_may_take_the_whole_grace_period(self):
        drain = self.node(grace="7s").drain
        self.assertEqual(drain.timeout_seconds, 7.0)
