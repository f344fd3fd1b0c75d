"""`rattanworks demo`: run the whole system on this machine."""

from rattanworks.commands.base import EXIT_SUCCESS, Command
from rattanworks.exceptions import EXIT_REFUSED


class DemoCommand(Command):
    """Runs a session of both example deployments and checks the guarantees."""

    name = "demo"
    help = "run both example deployments on this machine"

    def add_arguments(self, parser):
        """Declare the seed."""
        parser.add_argument("--seed", type=int, default=1)

    def run(self, arguments):
        """Run the session and return success only if every guarantee held."""
        # Imported here so that other commands start fast.
        from rattanworks.bench.demo import run_demo

        return EXIT_SUCCESS if run_demo(arguments.seed, print) else EXIT_REFUSED
