"""`rattanworks diff`: show what an edit changes, or how two versions differ."""

from rattanworks.commands.base import (
    EXIT_SUCCESS,
    Command,
    add_store_arguments,
)
from rattanworks.commands.context import open_publisher
from rattanworks.distribution.changes import compare_lists
from rattanworks.exceptions import UsageError
from rattanworks.settings.lists import load_lists
from rattanworks.utils.arguments import version_number


class DiffCommand(Command):
    """Compares the list files with a version, or two versions with each other."""

    name = "diff"
    help = "show what the lists change, or what lies between two versions"

    def add_arguments(self, parser):
        """Declare the list files, the store and the versions."""
        parser.add_argument("customers", nargs="?", help="customers list (TOML)")
        parser.add_argument("plans", nargs="?", help="plans list (TOML)")
        add_store_arguments(parser)
        parser.add_argument(
            "--from",
            dest="from_version",
            type=version_number,
            help="version to compare from (default: current)",
        )
        parser.add_argument(
            "--to",
            dest="to_version",
            type=version_number,
            help="version to compare with, when no files are given (default: current)",
        )

    def run(self, arguments):
        """Print one line for each entry that differs."""
        after_lists = _load_files(arguments)
        publisher = open_publisher(arguments)
        before = _load_version(publisher, arguments.from_version)
        after = None
        if after_lists is None:
            after = _load_version(publisher, arguments.to_version)
            after_lists = publisher.lists(after.manifest)
        changes = compare_lists(publisher.lists(before.manifest), after_lists)
        old = f"version {before.head.version}"
        new = f"version {after.head.version}" if after else "the files"
        print(f"{len(changes)} entries differ from {old} to {new}")
        for change in changes:
            print(f"  {change}")
        return EXIT_SUCCESS


def _load_files(arguments):
    if arguments.customers is None:
        if arguments.from_version is None:
            raise UsageError("name both files, or a version by --from")
        return None
    if arguments.plans is None:
        raise UsageError("name both files: the customers list and the plans list")
    if arguments.to_version is not None:
        raise UsageError("name either files or --to, not both")
    return load_lists(arguments.customers, arguments.plans)


def _load_version(publisher, number):
    return publisher.current() if number is None else publisher.version(number)
