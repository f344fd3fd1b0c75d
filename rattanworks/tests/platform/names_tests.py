import unittest

from hypothesis import given
from hypothesis import strategies as st

from rattanworks.platform.names import parse_duration, parse_version, render_duration


class NamesTests(unittest.TestCase):
    def test_durations_have_a_number_and_a_unit(self):
        self.assertEqual(parse_duration("1500ms"), 1.5)
        self.assertEqual(parse_duration("2.5s"), 2.5)
        self.assertEqual(render_duration(1.5), "1500ms")

    def test_versions_are_hexadecimal(self):
        self.assertEqual(parse_version("0000000c"), 12)
        for text in ("-1", "+1", "0x1", "1_0", " 1", "\u0661", "f" * 16, ""):
            with self.subTest(text), self.assertRaises(ValueError):
                parse_version(text)

    @given(st.text(max_size=40))
    def test_any_other_text_is_refused(self, text):
        for parse in (parse_duration, parse_version):
            try:
                value = parse(text)
            except ValueError:
                continue
            self.assertIsInstance(value, int | float)
