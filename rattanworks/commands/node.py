"""`rattanworks node`: run the node daemon."""

import sys

from rattanworks.commands.base import EXIT_SUCCESS, Command
from rattanworks.settings.node import load_node_settings
from rattanworks.settings.watched_file import WatchedFile
from rattanworks.utils.logging import configure_logging


class NodeCommand(Command):
    """Runs the node daemon until a signal stops it."""

    name = "node"
    help = "run the node daemon beside a backend server"

    def add_arguments(self, parser):
        """Declare the settings file."""
        parser.add_argument("--settings", required=True, help="settings file (TOML)")

    def run(self, arguments):
        """Load the settings, configure logging and run the daemon."""
        settings = load_node_settings(arguments.settings)
        # Imported here so that other commands start fast.
        from rattanworks.node.daemon import Daemon

        configure_logging(sys.stderr, node=settings.host.name)
        path = arguments.settings
        settings_file = WatchedFile(path, lambda: load_node_settings(path))
        Daemon(settings, settings_file=settings_file).run()
        return EXIT_SUCCESS
