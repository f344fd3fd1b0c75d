"""Command line of rattanworks."""

import argparse
import sys

from rattanworks import __version__
from rattanworks.commands import COMMANDS
from rattanworks.exceptions import RattanworksError


def build_parser(argv):
    """Return the argument parser for a command line.

    Only commands that occur in ``argv`` declare their arguments, so that a process
    does not import the modules that other commands need.
    """
    parser = argparse.ArgumentParser(
        prog="rattanworks",
        description="Configuration distribution system for a service mesh.",
    )
    parser.add_argument("--version", action="version", version=__version__)
    subparsers = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for command in COMMANDS:
        subparser = subparsers.add_parser(command.name, help=command.help)
        subparser.set_defaults(run=command.run)
        if command.name in argv:
            command.add_arguments(subparser)
    return parser


def main(argv=None):
    """Run one subcommand and return its exit status."""
    argv = sys.argv[1:] if argv is None else argv
    arguments = build_parser(argv).parse_args(argv)
    try:
        return arguments.run(arguments)
    except RattanworksError as error:
        print(f"rattanworks: {error}", file=sys.stderr)
        return error.exit_status
    except ExceptionGroup as group:
        faults, others = group.split(RattanworksError)
        if others is not None:
            raise
        for fault in faults.exceptions:
            print(f"rattanworks: {fault}", file=sys.stderr)
        return max(fault.exit_status for fault in faults.exceptions)


if __name__ == "__main__":
    sys.exit(main())
