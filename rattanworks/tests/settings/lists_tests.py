import tempfile
import unittest
from pathlib import Path

from rattanworks.distribution.changes import compare_lists
from rattanworks.distribution.configuration import Configuration
from rattanworks.distribution.validation import validate_version
from rattanworks.exceptions import InvalidInputGroup
from rattanworks.model.route import RouteKind, WeightedService
from rattanworks.settings.lists import load_lists, parse_lists
from rattanworks.tests.builders import (
    CUSTOMERS,
    PLANS,
    build_route,
    build_version,
)

FAULTY_BY_NAME = {
    "wrong type": (CUSTOMERS, PLANS.replace(b"100", b'"fast"')),
    "unknown plan": (CUSTOMERS.replace(b"counter", b"golden"), PLANS),
    "unknown key": (CUSTOMERS + b"colour = 1\n", PLANS),
    "duplicate": (CUSTOMERS + CUSTOMERS, PLANS),
    "empty": (b"", PLANS),
    "not UTF-8": (CUSTOMERS + b"# \xff\xfe\n", PLANS),
    "two megabytes": (CUSTOMERS + b"#" * 2_000_000, PLANS),
}


class ListsTests(unittest.TestCase):
    def load(self, customers, plans):
        with tempfile.TemporaryDirectory() as folder:
            paths = [Path(folder) / name for name in ("customers.toml", "plans.toml")]
            for path, content in zip(paths, (customers, plans), strict=True):
                path.write_bytes(content)
            return load_lists(*paths)

    def test_valid_lists_are_indexed_by_key(self):
        lists = self.load(CUSTOMERS, PLANS)
        self.assertEqual(lists.customers_by_id["shop"].plan, "counter")
        self.assertEqual(len(lists.plans_by_name["counter"].uses), 2)

    def test_each_fault_is_reported_with_its_file_and_remedy(self):
        for name, (customers, plans) in FAULTY_BY_NAME.items():
            with self.subTest(name), self.assertRaises(InvalidInputGroup) as caught:
                self.load(customers, plans)
            for fault in caught.exception.exceptions:
                self.assertRegex(str(fault), r"\.toml: .*expected .*; ")

    def test_all_faults_are_reported_at_once(self):
        with self.assertRaises(InvalidInputGroup) as caught:
            parse_lists(
                CUSTOMERS.replace(b"counter", b"golden") + b"colour = 1\n",
                PLANS.replace(b"100", b"-1"),
            )
        self.assertGreaterEqual(len(caught.exception.exceptions), 2)


ROUTES = b"""
[plans.counter]
default = true
[plans.counter.routes.lookup]
host = "shop.example"
prefix = "/lookup/"
kind = "idempotent"
timeout_seconds = 0.8
attempts = 2
services = { catalogue = 90, archive = 10 }
[limits]
idle_seconds = 15
"""


class RouteTests(unittest.TestCase):
    def test_routes_and_limits_are_read_from_the_plans_file(self):
        lists = parse_lists(CUSTOMERS, ROUTES)
        (route,) = lists.plan_of("").routes
        self.assertEqual(route.kind, RouteKind.IDEMPOTENT)
        self.assertEqual(route.timeout_seconds, 0.8)
        self.assertEqual(
            route.services,
            (WeightedService("archive", 10), WeightedService("catalogue", 90)),
        )
        self.assertEqual(lists.limits.idle_seconds, 15)

    def test_lists_are_unchanged_by_encoding_to_blobs(self):
        lists = parse_lists(CUSTOMERS, ROUTES)
        head, contents = build_version(3, lists)
        configuration = Configuration(validate_version)
        configuration.put_in_force(head, contents)
        self.assertEqual(configuration.snapshot.lists, lists)

    def test_a_changed_route_is_named_in_the_difference(self):
        before = parse_lists(CUSTOMERS, ROUTES)
        after = parse_lists(CUSTOMERS, ROUTES.replace(b"0.8", b"0.9"))
        (change,) = compare_lists(before, after)
        self.assertIn("timeout 0.9", str(change))
        limits = parse_lists(CUSTOMERS, ROUTES.replace(b"= 15", b"= 20"))
        (change,) = compare_lists(before, limits)
        self.assertIn("idle 20 s", str(change))

    def test_faults_of_routes_name_their_key(self):
        for old, new, key in (
            (b'"idempotent"', b'"sometimes"', "routes.lookup.kind"),
            (b"0.8", b"-1", "routes.lookup.timeout_seconds"),
            (b'"/lookup/"', b'"lookup"', "routes.lookup.prefix"),
            (b"{ catalogue = 90, archive = 10 }", b"{}", "routes.lookup.services"),
            (b"= 15", b'= "long"', "limits.idle_seconds"),
        ):
            with self.subTest(key), self.assertRaises(ExceptionGroup) as raised:
                parse_lists(CUSTOMERS, ROUTES.replace(old, new))
            self.assertIn(key, str(raised.exception.exceptions[0]))

    def test_two_default_plans_are_refused(self):
        second = ROUTES + b"[plans.other]\ndefault = true\n"
        with self.assertRaises(ExceptionGroup):
            parse_lists(CUSTOMERS, second)


class WeightTests(unittest.TestCase):
    def test_calls_are_distributed_by_weight(self):
        route = build_route(
            services=(WeightedService("a", 90), WeightedService("b", 10))
        )
        chosen = [route.choose_service(number / 1000) for number in range(1000)]
        self.assertEqual(chosen.count("a"), 900)
