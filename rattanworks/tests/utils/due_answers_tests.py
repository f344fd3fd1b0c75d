import unittest

from rattanworks.tests.fakes import FakeClock
from rattanworks.utils.due_answers import STEP_SECONDS, DueAnswers

LIMIT_SECONDS = 0.5


class DueAnswersTests(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock(100.0)
        self.due_answers = DueAnswers(self.clock.monotonic)
        self.given = []

    def add(self, key, seconds):
        return self.due_answers.add(
            key, self.clock.time + seconds, lambda: self.given.append(key)
        )

    def run_after(self, seconds):
        self.clock.advance(seconds)
        self.due_answers.run_due()
        return self.given

    def test_answers_are_given_once_when_they_are_due(self):
        self.add("a", 1.0)
        self.add("b", 2.0)
        self.assertEqual(self.run_after(0.9), [])
        self.assertEqual(self.run_after(0.2), ["a"])
        self.assertEqual(self.run_after(5.0), ["a", "b"])
        self.assertEqual(self.run_after(5.0), ["a", "b"])

    def test_a_discarded_answer_is_not_given(self):
        self.add("a", 1.0)
        self.due_answers.discard("a")
        self.due_answers.discard("a")
        self.assertEqual(self.run_after(2.0), [])

    def test_the_thread_waits_until_the_next_answer_is_due(self):
        seconds_to_next = self.due_answers.seconds_to_next
        self.assertEqual(seconds_to_next(LIMIT_SECONDS), LIMIT_SECONDS)
        self.add("a", 0.25)
        self.assertEqual(seconds_to_next(LIMIT_SECONDS), 0.25)
        self.clock.advance(1.0)
        self.assertEqual(seconds_to_next(LIMIT_SECONDS), STEP_SECONDS)

    def test_answers_that_come_and_go_while_others_are_given(self):
        # The collector may let another thread run whenever something is allocated.
        class Entries(dict):
            def items(entries):
                for pair in super().items():
                    self.add(object(), 1.0)
                    yield pair

        self.due_answers._by_key = Entries()
        self.add("a", 1.0)
        self.add("b", 1.0)
        self.assertEqual(self.run_after(2.0), ["a", "b"])

    def test_an_answer_that_is_added_during_a_look_wakes_the_thread(self):
        entries = self.due_answers._entries

        def add_after_the_look():
            copied = entries()
            self.wakes = self.add("a", LIMIT_SECONDS / 2)
            return copied

        self.due_answers._entries = add_after_the_look
        self.due_answers.seconds_to_next(LIMIT_SECONDS)
        self.assertTrue(self.wakes)

    def test_an_answer_that_is_due_during_the_wait_wakes_the_thread(self):
        self.due_answers.seconds_to_next(LIMIT_SECONDS)
        self.assertTrue(self.add("a", LIMIT_SECONDS / 2))
        self.assertFalse(self.add("b", LIMIT_SECONDS * 2))
