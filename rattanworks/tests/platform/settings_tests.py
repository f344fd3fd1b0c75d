import tempfile
import unittest
from pathlib import Path

from rattanworks.platform.settings import load_platform_settings
from rattanworks.tests.platform.builders import build_settings_text

MEGABYTE = 1000 * 1000
DEFAULT_BYTES = 128 * 1024 * 1024
# Of a node of the design size, docs/CAPACITY.md.
RESIDENT_BYTES = 91 * MEGABYTE


class PlatformSettingsTests(unittest.TestCase):
    def node(self, **fields):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.toml"
            path.write_text(build_settings_text(**fields))
            return load_platform_settings(path).node

    def test_large_bodies_leave_a_small_host_the_memory_of_its_node(self):
        for memory_mb in (200, 300, 552):
            with self.subTest(memory_mb=memory_mb):
                room = self.node(memory_mb=memory_mb).traffic.large_bodies_bytes
                self.assertLess(room + RESIDENT_BYTES, memory_mb * MEGABYTE)
                self.assertEqual(room, min(DEFAULT_BYTES, memory_mb * MEGABYTE // 4))

    def test_an_unknown_memory_leaves_the_setting(self):
        self.assertEqual(self.node().traffic.large_bodies_bytes, DEFAULT_BYTES)

    def test_the_whole_time_until_the_kill_is_the_stops(self):
        drain = self.node(grace="7s").drain
        self.assertEqual(drain.timeout_seconds, 7.0)
