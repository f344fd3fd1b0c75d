"""Driving a move: stages, changes of the role holder, store outages and races."""

import unittest
from dataclasses import replace

from rattanworks.distribution.keys import service_key
from rattanworks.exceptions import StoreUnavailableError
from rattanworks.model.service import MoveStatus, ServiceState, done, taken_back
from rattanworks.moves.driver import record_end
from rattanworks.moves.record import MoveTrail
from rattanworks.moves.schedule import EARLIEST_STARTS
from rattanworks.tests.moves.world import MOVE_SECONDS, START, World, running_state

STAGES = range(len(EARLIEST_STARTS))
SHARES = (0.05, 0.5, 0.5, 0.95)


def look_during_outage(world, driver_node, seconds, failing=()):
    for _ in range(seconds):
        world.clock.advance(1.0)
        world.report(driver_node, failing)
        try:
            driver_node.driver.look()
        except StoreUnavailableError:
            continue


class MoveTests(unittest.TestCase):
    def test_a_good_version_is_done_in_time_by_stages(self):
        world = World(running_state(share=0.0))
        driver_node = world.driver_node()
        self.assertTrue(driver_node.driver.attach())
        shares = []
        for _ in range(int(MOVE_SECONDS)):
            world.run(driver_node, 1)
            shares.append(driver_node.move.share)
        self.assertEqual(world.recorded.move.status, MoveStatus.DONE)
        self.assertEqual(world.recorded.serving_version, "v2")
        self.assertLessEqual(world.recorded.move.ended_at, START + MOVE_SECONDS)
        self.assertEqual(shares, sorted(shares))
        self.assertGreater(len(set(shares)), 3)

    def test_the_recorded_reason_is_kept_up_to_date(self):
        world = World()
        driver_node = world.driver_node()
        driver_node.driver.attach()
        world.run(driver_node, 20)
        early = world.recorded.move
        self.assertIn("calls of the new version", early.reason)
        world.run(driver_node, 15)
        self.assertNotEqual(world.recorded.move.reason, early.reason)
        self.assertEqual(world.recorded.move.stage, early.stage)

    def test_a_failing_version_is_taken_back_at_the_first_share(self):
        world = World()
        driver_node = world.driver_node()
        driver_node.driver.attach()
        world.run(driver_node, 10, failing=("v2",))
        self.assertEqual(driver_node.move.status, MoveStatus.TAKEN_BACK)
        self.assertIn("fails", driver_node.move.reason)

    def test_no_version_is_taken_back_for_a_disturbance_of_both(self):
        world = World()
        driver_node = world.driver_node()
        driver_node.driver.attach()
        world.run(driver_node, 20, failing=("v1", "v2"))
        self.assertEqual(driver_node.move.status, MoveStatus.RUNNING)


class FailoverTests(unittest.TestCase):
    def test_a_new_holder_never_raises_the_share_by_taking_over(self):
        for stage in STAGES:
            with self.subTest(stage=stage):
                world = World(running_state(stage=stage, share=SHARES[stage], term=3))
                world.clock.advance(MOVE_SECONDS / 2)
                driver_node = world.driver_node("v1-1")
                self.assertTrue(driver_node.driver.attach())
                self.assertEqual(driver_node.move.share, SHARES[stage])
                self.assertEqual(driver_node.move.stage, stage)
                self.assertEqual(driver_node.move.term, 4)
                driver_node.driver.look()
                self.assertEqual(driver_node.move.share, SHARES[stage])

    def test_a_paused_holder_that_resumes_changes_nothing(self):
        for stage in STAGES:
            with self.subTest(stage=stage):
                world = World(running_state(stage=stage, share=SHARES[stage]))
                paused = world.driver_node("v1-0")
                paused.driver.attach()
                world.report(paused)
                world.clock.advance(MOVE_SECONDS * 0.95)
                successor = world.driver_node("v1-1")
                self.assertTrue(successor.driver.attach())
                before = world.recorded
                world.report(paused, failing=("v2",), calls=200)
                for _ in range(3):
                    paused.driver.look()
                    world.clock.advance(0.5)
                self.assertEqual(world.recorded, before)
                self.assertNotEqual(paused.move.status, MoveStatus.DONE)
                self.assertEqual(paused.move.share, SHARES[stage])

    def test_a_swap_on_an_old_revision_is_refused_and_detaches_the_driver(self):
        world = World()
        first, second = world.driver_node("v1-0"), world.driver_node("v1-1")
        first.driver.attach()
        second.driver.attach()
        for _ in range(60):
            world.clock.advance(1.0)
            world.report(first)
            first.driver.look()
        self.assertFalse(first.driver.is_attached)
        self.assertEqual(world.recorded.move.holder, "v1-1")
        self.assertEqual(world.recorded.move.stage, 0)

    def test_a_holder_that_learns_of_a_later_term_stops_evaluating(self):
        world = World()
        first, second = world.driver_node("v1-0"), world.driver_node("v1-1")
        first.driver.attach()
        for _ in range(3):
            world.clock.advance(1.0)
            world.report(first, failing=("v2",))
        second.driver.attach()
        first.services.merge((second.services.rows_by_name["catalogue"],))
        first.driver.look()
        self.assertFalse(first.driver.is_attached)
        self.assertEqual(first.move.status, MoveStatus.RUNNING)

    def test_evidence_is_rebuilt_from_cumulative_sums(self):
        world = World()
        first = world.driver_node("v1-0")
        first.driver.attach()
        for _ in range(3):
            world.clock.advance(1.0)
            world.report(first, failing=("v2",))
        successor = world.driver_node("v1-1")
        successor.driver.attach()
        world.report(successor, calls=0)
        successor.driver.look()
        self.assertEqual(successor.move.status, MoveStatus.TAKEN_BACK)


class StoreOutageTests(unittest.TestCase):
    def test_a_bad_version_is_taken_back_at_once_and_recorded_later(self):
        world = World()
        driver_node = world.driver_node()
        driver_node.driver.attach()
        world.store.is_down = True
        look_during_outage(world, driver_node, 5, failing=("v2",))
        self.assertEqual(driver_node.move.status, MoveStatus.TAKEN_BACK)
        self.assertEqual(world.recorded.move.status, MoveStatus.RUNNING)
        state = driver_node.services.rows_by_name["catalogue"]
        trail = MoveTrail(world.store)
        with self.assertRaises(StoreUnavailableError):
            record_end(state, driver_node.services, world.records, trail)
        world.store.is_down = False
        self.assertTrue(record_end(state, driver_node.services, world.records, trail))
        self.assertEqual(world.recorded.move.status, MoveStatus.TAKEN_BACK)
        self.assertEqual(trail.moves()[0].move.status, MoveStatus.TAKEN_BACK)

    def test_a_node_without_the_role_takes_a_bad_version_back_too(self):
        world = World()
        driver_node = world.driver_node("v1-1")
        world.store.is_down = True
        look_during_outage(world, driver_node, 5, failing=("v2",))
        self.assertEqual(driver_node.move.status, MoveStatus.TAKEN_BACK)

    def test_a_good_version_waits_and_is_done_late_with_the_reason(self):
        world = World()
        driver_node = world.driver_node()
        driver_node.driver.attach()
        world.store.is_down = True
        look_during_outage(world, driver_node, int(MOVE_SECONDS) + 5)
        self.assertEqual(driver_node.move.share, 0.05)
        world.store.is_down = False
        world.run(driver_node, 40)
        self.assertEqual(world.recorded.move.status, MoveStatus.DONE)
        self.assertIn("late", world.recorded.move.reason)

    def test_a_lost_answer_to_the_end_is_resolved_by_reading_back(self):
        world = World()
        driver_node = world.driver_node()
        driver_node.driver.attach()
        world.run(driver_node, 85)
        world.store.lose_answers = 1
        world.run(driver_node, 14)
        self.assertEqual(world.recorded.move.status, MoveStatus.DONE)
        self.assertEqual(driver_node.move.status, MoveStatus.DONE)


class RestoredStoreTests(unittest.TestCase):
    def test_a_holder_goes_on_with_the_move_that_the_store_lost(self):
        for earlier in (None, running_state(share=0.0)):
            with self.subTest(earlier=earlier):
                world = World(running_state(stage=1, share=0.5, term=3))
                driver_node = world.driver_node()
                driver_node.driver.attach()
                recorded = world.records.read("catalogue")
                if earlier is None:
                    world.store.delete(service_key("catalogue"), recorded.revision)
                else:
                    world.records.write(earlier, recorded.revision)
                self.assertTrue(driver_node.driver.attach())
                self.assertEqual(
                    world.recorded, driver_node.services.rows_by_name["catalogue"]
                )
                move = world.recorded.move
                self.assertEqual((move.stage, move.share, move.term), (1, 0.5, 5))

    def test_an_end_that_the_store_lost_is_recorded(self):
        lost = running_state()
        earlier = ServiceState("catalogue", 1, "v1")
        for stored in (None, earlier, lost):
            for ended in (done(lost, "", START), taken_back(lost, "bad", START)):
                with self.subTest(stored=stored, status=ended.move.status):
                    world = World(lost)
                    driver_node = world.driver_node()
                    driver_node.services.merge((ended,))
                    recorded = world.records.read("catalogue")
                    if stored is None:
                        world.store.delete(service_key("catalogue"), recorded.revision)
                    else:
                        world.records.write(stored, recorded.revision)
                    trail = MoveTrail(world.store)
                    self.assertTrue(
                        record_end(ended, driver_node.services, world.records, trail)
                    )
                    self.assertEqual(world.recorded, ended)
                    self.assertEqual(trail.moves()[0].move, ended.move)


class RaceTests(unittest.TestCase):
    def test_done_in_the_store_prevails_over_a_later_taken_back(self):
        world = World()
        finished = done(world.recorded, "", START)
        taken_back_state = taken_back(world.recorded, "late decision", START)
        world.records.write(finished, world.records.read("catalogue").revision)
        for order in ((finished, taken_back_state), (taken_back_state, finished)):
            driver_node = world.driver_node()
            for state in order:
                driver_node.services.merge((state,))
            record_end(
                taken_back_state,
                driver_node.services,
                world.records,
                MoveTrail(world.store),
            )
            self.assertEqual(driver_node.move.status, MoveStatus.DONE)
        self.assertEqual(world.recorded.move.status, MoveStatus.DONE)

    def test_taken_back_prevails_over_a_done_that_is_not_written_yet(self):
        world = World(running_state(stage=3, share=0.95))
        world.clock.advance(MOVE_SECONDS * 0.8)
        driver_node = world.driver_node()
        driver_node.driver.attach()
        record = world.members.by_node["v2-0"]
        report = world.evidence(driver_node, record, knows_taken_back=True)
        driver_node.driver.collector.receive(report)
        world.run(driver_node, 30)
        self.assertEqual(driver_node.move.status, MoveStatus.TAKEN_BACK)
        self.assertNotEqual(world.recorded.move.status, MoveStatus.DONE)

    def test_taking_the_role_never_overwrites_taken_back_in_the_own_table(self):
        world = World()
        driver_node = world.driver_node()
        driver_node.services.merge((taken_back(world.recorded, "bad", START),))
        self.assertFalse(driver_node.driver.attach())
        self.assertEqual(driver_node.move.status, MoveStatus.TAKEN_BACK)

    def test_a_running_state_of_a_later_term_does_not_revive_a_taken_back_move(self):
        world = World()
        driver_node = world.driver_node()
        driver_node.services.merge((taken_back(world.recorded, "bad", START),))
        later = replace(world.recorded.move, term=9, share=0.95)
        driver_node.services.merge((replace(world.recorded, move=later),))
        self.assertEqual(driver_node.move.status, MoveStatus.TAKEN_BACK)


class ServerLossTests(unittest.TestCase):
    def test_a_move_that_lost_all_new_servers_is_taken_back(self):
        world = World()
        driver_node = world.driver_node()
        driver_node.driver.attach()
        world.run(driver_node, 3)
        world.members.remove("v2-0", "v2-1")
        world.run(driver_node, 15)
        self.assertEqual(driver_node.move.status, MoveStatus.TAKEN_BACK)
        self.assertIn("no server", driver_node.move.reason)

    def test_a_version_is_not_taken_back_for_one_lost_host(self):
        world = World()
        driver_node = world.driver_node()
        driver_node.driver.attach()
        world.run(driver_node, 3)
        world.members.remove("v2-1")
        entry_report = world.evidence(
            driver_node,
            world.members.by_node["v1-0"],
            sender="entry",
            version="",
            sums=(),
            unreachable_by_node={"v2-1": 500},
        )
        driver_node.driver.collector.receive(entry_report)
        world.run(driver_node, 10)
        self.assertEqual(driver_node.move.status, MoveStatus.RUNNING)

    def test_a_move_goes_on_without_the_last_old_server(self):
        world = World()
        driver_node = world.driver_node()
        driver_node.driver.attach()
        world.run(driver_node, 3)
        world.members.remove("v1-0", "v1-1")
        world.run(driver_node, MOVE_SECONDS)
        self.assertEqual(driver_node.move.status, MoveStatus.DONE)


if __name__ == "__main__":
    unittest.main()
