"""Runs the node on the users' platform."""

import os
import sys

from rattanworks.exceptions import InvalidInputGroup
from rattanworks.node.daemon import Daemon
from rattanworks.platform.composition import PlatformAdapters
from rattanworks.platform.settings import SETTINGS_PATH_VARIABLE, load_platform_settings
from rattanworks.settings.watched_file import WatchedFile
from rattanworks.utils.logging import configure_logging


def main():
    """Run until a signal asks the node to stop; return the exit status."""
    path = os.environ.get(SETTINGS_PATH_VARIABLE, "")
    try:
        settings = load_platform_settings(path)
    except InvalidInputGroup as group:
        for fault in group.exceptions:
            print(fault, file=sys.stderr)
        return group.exit_status
    configure_logging(sys.stdout, node=settings.node.host.name)
    settings_file = WatchedFile(path, lambda: load_platform_settings(path).node)
    Daemon(settings.node, PlatformAdapters(settings), settings_file).run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
