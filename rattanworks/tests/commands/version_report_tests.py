import unittest

from rattanworks.commands.version_report import version_lines, version_report
from rattanworks.model.control import RefusedVersion, StatusReply
from rattanworks.model.version import Head


def reply(node, version, *refused):
    return StatusReply(
        node=node,
        failure_domain="a",
        head=Head(version, "hash"),
        refused=refused,
        members=(),
        services=(),
        roles=(),
        is_draining=False,
    )


class VersionReportTests(unittest.TestCase):
    def setUp(self):
        refusal = RefusedVersion(5, "plan gold is out of bounds")
        self.report = version_report(
            [reply("n1", 5), reply("n2", 5), reply("n3", 4, refusal), reply("n4", 3)]
        )

    def test_each_version_has_its_nodes_and_refusals(self):
        self.assertEqual(self.report["nodes_by_version"], {"3": 1, "4": 1, "5": 2})
        newest = self.report["versions"][0]
        self.assertEqual((newest["version"], newest["in_force"]), (5, 2))
        self.assertEqual(newest["refused"][0]["node"], "n3")
        lagging = {item["node"]: item["version"] for item in self.report["lagging"]}
        self.assertEqual(lagging, {"n3": 4, "n4": 3})

    def test_lines_name_lagging_nodes_and_refusals_with_reasons(self):
        text = "\n".join(version_lines(self.report))
        self.assertIn("refused by n3: plan gold is out of bounds", text)
        self.assertIn("lagging at version 3: n4", text)

    def test_long_lists_of_nodes_are_truncated(self):
        replies = [reply("new", 2), *(reply(f"old-{n:03}", 1) for n in range(99))]
        lines = version_lines(version_report(replies))
        self.assertIn("and 79 more", lines[-1])
