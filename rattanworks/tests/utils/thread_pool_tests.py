import threading
import unittest
import unittest.mock

from rattanworks.utils.thread_pool import OnDemandPool

WAIT_SECONDS = 30.0
SHORT_IDLE_SECONDS = 0.01


class Task:
    """A task that waits for ``release`` before it ends."""

    def __init__(self, release=None, error=None):
        self.started, self.ended = threading.Event(), threading.Event()
        self.is_cancelled = False
        self._release = release
        self._error = error

    def service(self):
        self.started.set()
        if self._release is not None:
            self._release.wait(WAIT_SECONDS)
        self.ended.set()
        if self._error is not None:
            raise self._error

    def cancel(self):
        self.is_cancelled = True


class OnDemandPoolTests(unittest.TestCase):
    def setUp(self):
        self.release = threading.Event()
        self.addCleanup(self.release.set)

    def new_pool(self, max_threads=4, idle_seconds=WAIT_SECONDS):
        pool = OnDemandPool(max_threads, "pool", idle_seconds)
        self.addCleanup(pool.shutdown)
        return pool

    def add(self, pool, task):
        pool.add_task(task)
        return task

    def start(self, pool, count):
        tasks = [self.add(pool, Task(self.release)) for _ in range(count)]
        for task in tasks:
            self.assertTrue(task.started.wait(WAIT_SECONDS))
        return tasks

    def test_threads_start_only_when_tasks_need_them(self):
        pool = self.new_pool()
        self.assertEqual(pool.thread_count, 0)
        self.start(pool, 3)
        self.assertEqual(pool.thread_count, 3)

    def test_the_lock_of_the_pool_is_free_while_a_thread_starts(self):
        pool = self.new_pool()
        are_held = []
        start = threading.Thread.start

        def checking_start(thread):
            are_held.append(pool._changed._is_owned())
            start(thread)

        with unittest.mock.patch.object(threading.Thread, "start", checking_start):
            self.start(pool, 2)
        self.assertEqual(are_held, [False, False])

    def test_tasks_beyond_the_threads_wait_and_run_in_order(self):
        pool = self.new_pool(max_threads=1)
        self.start(pool, 1)
        waiting = [self.add(pool, Task()) for _ in range(3)]
        self.assertEqual(pool.thread_count, 1)
        self.assertFalse(any(task.started.is_set() for task in waiting))
        self.release.set()
        for task in waiting:
            self.assertTrue(task.ended.wait(WAIT_SECONDS))

    def test_idle_threads_end_and_others_start_again(self):
        pool = self.new_pool(idle_seconds=SHORT_IDLE_SECONDS)
        self.start(pool, 4)
        self.release.set()
        poll = threading.Event()
        while pool.thread_count:
            poll.wait(SHORT_IDLE_SECONDS)
        self.assertTrue(self.add(pool, Task()).ended.wait(WAIT_SECONDS))

    def test_every_task_runs_while_threads_end_and_start(self):
        pool = self.new_pool(idle_seconds=0.0)
        tasks = [self.add(pool, Task()) for _ in range(2000)]
        for task in tasks:
            self.assertTrue(task.ended.wait(WAIT_SECONDS))

    def test_a_failing_task_ends_no_thread(self):
        pool = self.new_pool(max_threads=1)
        self.add(pool, Task(error=ValueError("broken")))
        self.assertTrue(self.add(pool, Task()).ended.wait(WAIT_SECONDS))
        self.assertEqual(pool.thread_count, 1)

    def test_shutdown_cancels_waiting_tasks_and_ends_the_threads(self):
        pool = self.new_pool(max_threads=1)
        (running,) = self.start(pool, 1)
        waiting = self.add(pool, Task())
        stopping = threading.Thread(target=pool.shutdown, args=(True, WAIT_SECONDS))
        stopping.start()
        while not waiting.is_cancelled and stopping.is_alive():
            self.release.set()
            stopping.join(SHORT_IDLE_SECONDS)
        stopping.join()
        self.assertEqual(pool.thread_count, 0)
        self.assertTrue(running.ended.is_set())


if __name__ == "__main__":
    unittest.main()
