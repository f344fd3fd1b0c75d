import threading
import unittest

from rattanworks.tests.fakes import FakeClock
from rattanworks.utils.logging import (
    LINES_PER_SECOND,
    MAX_QUEUED_LINES,
    LineDestination,
    parse_line,
)

WAIT_SECONDS = 20.0


class Stream:
    """A stream that keeps its text, and can block or fail the writer."""

    def __init__(self):
        self.text = ""
        self.is_writable = threading.Event()
        self.is_writable.set()
        self.is_broken = False

    def write(self, text):
        self.is_writable.wait(WAIT_SECONDS)
        if self.is_broken:
            raise BrokenPipeError
        self.text += text

    def flush(self):
        pass

    @property
    def lines(self):
        return [parse_line(line) for line in self.text.splitlines()]


def message(event, **fields):
    return {"timestamp": 1.0, "message_type": event, **fields}


class LoggingTests(unittest.TestCase):
    def setUp(self):
        self.stream = Stream()
        self.clock = FakeClock()
        self.log = LineDestination(self.stream, {"node": "a"}, self.clock)

    def written(self, event):
        self.assertTrue(self.log.flush(WAIT_SECONDS))
        return [line for line in self.stream.lines if line["event"] == event]

    def test_an_event_is_one_line_with_its_context(self):
        self.log(message("started", reason="two words"))
        (line,) = self.written("started")
        self.assertEqual((line["reason"], line["node"]), ("two words", "a"))

    def test_a_flood_of_one_event_does_not_displace_others(self):
        for _ in range(1000):
            self.log(message("flood"))
        self.log(message("rare"))
        self.assertEqual(len(self.written("rare")), 1)
        kept = len(self.written("flood"))
        self.assertLess(kept, 5 * LINES_PER_SECOND)
        self.clock.advance(1.0)
        self.log(message("flood"))
        (dropped,) = self.written("lines-dropped")
        self.assertEqual(int(dropped["count"]), 1000 - kept)
        self.assertEqual(dropped["dropped_event"], "flood")

    def test_a_stalled_reader_does_not_block_logging(self):
        self.stream.is_writable.clear()
        for number in range(4 * MAX_QUEUED_LINES):
            self.log(message(f"event-{number}"))
        self.stream.is_writable.set()
        self.assertTrue(self.log.flush(WAIT_SECONDS))
        # One full queue may be in a write while another has filled up.
        self.assertLessEqual(len(self.stream.lines), 2 * MAX_QUEUED_LINES)

    def test_a_closed_stream_does_not_end_logging(self):
        self.stream.is_broken = True
        self.log(message("lost"))
        self.assertTrue(self.log.flush(WAIT_SECONDS))
        self.stream.is_broken = False
        self.log(message("kept"))
        self.assertEqual(len(self.written("kept")), 1)
