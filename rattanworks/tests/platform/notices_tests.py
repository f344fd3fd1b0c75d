import unittest

from rattanworks.model.notice import ServerNotice
from rattanworks.platform.notices import MAX_CALLS_PER_SECOND, read_notice

ADDRESS = "127.0.0.1:1"


def read_limit(*values):
    headers = [("Content-Type", "text/plain")]
    headers += [("server-limit", value) for value in values]
    return read_notice(headers, ADDRESS)


class LimitTests(unittest.TestCase):
    def test_decimal_numbers_are_limits(self):
        for text, limit in (("32.6", 32.6), ("5", 5.0), ("0", 0.0), (" .5 ", 0.5)):
            with self.subTest(text):
                self.assertEqual(read_limit(text), ServerNotice(limit))

    def test_an_answer_without_the_header_names_no_limit(self):
        self.assertEqual(read_limit(), ServerNotice())

    def test_what_is_no_limit_is_told_apart_from_no_header(self):
        too_high = str(MAX_CALLS_PER_SECOND * 10)
        for values in (
            ("",),
            ("-1",),
            ("nan",),
            ("inf",),
            ("1e3",),
            ("5, 7",),
            ("5", "7"),
            ("\u0665",),
            ("9" * 400,),
            (too_high,),
        ):
            with self.subTest(values):
                self.assertFalse(read_limit(*values).is_limit_readable)


class LeavingTests(unittest.TestCase):
    def read(self, *values):
        headers = [("Server-Leaving", value) for value in values]
        return read_notice(headers, ADDRESS).is_leaving

    def test_only_the_value_that_says_so_means_that_the_server_leaves(self):
        self.assertFalse(self.read())
        self.assertTrue(self.read("1"))
        self.assertTrue(self.read("1", " 1 "))
        for values in (("0",), ("",), ("true",), ("1, 0",), ("1", "0")):
            with self.subTest(values):
                self.assertFalse(self.read(*values))

    def test_both_headers_are_read_apart(self):
        headers = [("Server-Leaving", "1"), ("Server-Limit", "-3")]
        notice = read_notice(headers, ADDRESS)
        self.assertTrue(notice.is_leaving)
        self.assertFalse(notice.is_limit_readable)
