"""An operator's session on each example deployment matches its golden file."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from rattanworks.__main__ import main
from rattanworks.bench.deployments import DEPLOYMENTS
from rattanworks.bench.fleet import (
    places_of,
    running_fleet,
    running_store,
    wait_until,
)
from rattanworks.bench.move_session import MoveLoad, start_version
from rattanworks.moves.record import MoveTrail
from rattanworks.tests.golden import assert_golden

TIMEOUT_SECONDS = 60.0
MOVE_SECONDS = "15"
CALLS_PER_SECOND = 60
FAILING = '{"fail_share": 1.0}'
NODE_COUNT = 4


class OperatorSession:
    """Runs commands on copies of the lists and records a transcript of them."""

    def __init__(self, folder, deployment, fleet):
        self._folder = Path(folder)
        self._fleet = fleet
        self._options = ["--store", fleet.store.address, "--prefix", fleet.prefix]
        self._lines = []
        for name in ("customers_path", "plans_path"):
            source = Path(getattr(deployment, name))
            (self._folder / source.name).write_bytes(source.read_bytes())

    @property
    def transcript(self):
        return "\n".join(self._lines).replace(str(self._folder), "<folder>") + "\n"

    def add_heading(self, text):
        self._lines.append(f"\n# {text}")

    def edit(self, customer, plan):
        path = self._folder / "customers.toml"
        entry = f'\n[customers.{customer}]\nplan = "{plan}"\n'
        path.write_text(path.read_text() + entry)

    def revert(self, deployment):
        source = Path(deployment.customers_path).read_bytes()
        (self._folder / "customers.toml").write_bytes(source)

    def run(self, command, *arguments, lists=False, store=True):
        files = ["customers.toml", "plans.toml"] if lists else []
        paths = [str(self._folder / name) for name in files]
        options = self._options if store else []
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            status = main([command, *paths, *arguments, *options])
        shown = " ".join([command, *files, *arguments])
        self._lines += [f"$ rattanworks {shown}", output.getvalue().rstrip()]
        self._lines.append(f"(status {status})")
        return status


class OperatorDayTests(unittest.TestCase):
    def run_day(self, deployment):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        store = self.enterContext(running_store())
        fleet = self.enterContext(running_fleet(store))
        fleet.start_all(self.places(deployment))
        fleet.wait_ready()
        session = OperatorSession(folder, deployment, fleet)
        self.edit_lists(session, deployment, fleet)
        self.move_versions(session, deployment, fleet)
        session.add_heading("The audit trail of the day")
        session.run("history")
        assert_golden(self, f"operator-day-{deployment.name}", session.transcript)

    def places(self, deployment):
        return places_of(deployment)[:NODE_COUNT]

    def edit_lists(self, session, deployment, fleet):
        session.add_heading("The first version")
        session.run("check", lists=True, store=False)
        session.run("apply", "--author", "ana", lists=True)
        session.add_heading("An edit")
        lists = fleet.publisher.lists(fleet.publisher.current().manifest)
        plan = sorted(lists.plans_by_name)[0]
        session.edit("nova", plan)
        session.run("diff", lists=True)
        session.run("apply", "--base", "1", "--author", "ana", lists=True)
        session.add_heading(
            "Another operator edits the first version and loses the race"
        )
        session.revert(deployment)
        session.edit("outra", plan)
        session.run("apply", "--base", "1", "--author", "rui", lists=True)
        session.run("apply", "--base", "1", "--merge", "--author", "rui", lists=True)
        session.add_heading("A third edits the same entry in another way")
        session.revert(deployment)
        session.edit("nova", sorted_plans(fleet)[-1])
        session.run("apply", "--base", "1", "--merge", "--author", "eva", lists=True)
        wait_until(lambda: fleet.has_in_force(3), TIMEOUT_SECONDS, "version 3")

    def move_versions(self, session, deployment, fleet):
        service = deployment.lookup_service
        session.add_heading("Moves that cannot work")
        node = fleet.nodes[0].control
        session.run("move", service, "--to", "v2", "--within", "60", "--node", node)
        session.run("move", service, "--to", "v1", "--within", "60", "--node", node)
        session.add_heading("A bad version is taken back")
        start_version(fleet, service, "v2", FAILING)
        self.move(session, deployment, fleet, "v2")
        session.add_heading("A good version is done")
        start_version(fleet, service, "v3", count=2)
        self.move(session, deployment, fleet, "v3")
        session.run("status", "--node", node, store=False)

    def move(self, session, deployment, fleet, version):
        service = deployment.lookup_service
        arguments = ["--to", version, "--within", MOVE_SECONDS, "--author", "ana"]
        addresses = [node.callers for node in fleet.nodes]
        paths = [f"/{service}"]
        with MoveLoad(addresses, deployment.customer, paths, CALLS_PER_SECOND):
            session.run("move", service, *arguments, "--node", fleet.nodes[0].control)
            wait_until(
                lambda: self.has_ended(fleet, service),
                TIMEOUT_SECONDS,
                f"the move to {version} ends",
            )

    def has_ended(self, fleet, service):
        replies = fleet.statuses()
        states = [
            state
            for reply in replies
            for state in reply.services
            if state.service == service
        ]
        is_known = len(states) == len(fleet.nodes) and all(
            state.move and state.move.ended_at for state in states
        )
        return is_known and self.is_in_trail(fleet, service)

    def is_in_trail(self, fleet, service):
        records = MoveTrail(fleet.store_client).moves(service)
        return all(record.move.ended_at for record in records)


def sorted_plans(fleet):
    lists = fleet.publisher.lists(fleet.publisher.current().manifest)
    return sorted(lists.plans_by_name)


def add_test(deployment):
    def test(self):
        self.run_day(deployment)

    name = deployment.name.replace("-", "_")
    setattr(OperatorDayTests, f"test_{name}", test)


for each in DEPLOYMENTS:
    add_test(each)
