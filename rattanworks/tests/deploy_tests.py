"""Consistency of the files from which the platform builds and starts the node."""

import tomllib
import unittest

from rattanworks.tests.runner import ROOT


def read_toml(path):
    return tomllib.loads((ROOT / path).read_text("utf-8"))


class DeployTests(unittest.TestCase):
    def test_the_platform_installs_what_the_project_declares(self):
        declared = read_toml("pyproject.toml")["project"]["dependencies"]
        installed = (ROOT / "deploy/requirements.txt").read_text("utf-8").split()
        self.assertEqual(installed, declared)

    def test_one_role_serves_the_hosts_of_endpoints(self):
        (role,) = read_toml("deploy/system.toml")["roles"].values()
        self.assertEqual(role["serves"], ["sidecar"])
        self.assertTrue((ROOT / role["template"]).exists())

    def test_metrics_are_served_where_the_platform_fetches_them(self):
        (role,) = read_toml("deploy/system.toml")["roles"].values()
        port, _, path = role["metrics"].partition("/")
        template = (ROOT / role["template"]).read_text("utf-8")
        self.assertEqual(path, "metrics")
        self.assertIn(f"\nmetrics = {port}\n", template)
