"""`rattanworks apply`: accept the operators' lists as a new version."""

from rattanworks.commands.base import (
    EXIT_SUCCESS,
    Command,
    add_list_arguments,
    add_store_arguments,
)
from rattanworks.commands.context import default_author, open_publisher
from rattanworks.distribution.changes import compare_lists
from rattanworks.exceptions import ConflictError, UsageError
from rattanworks.settings.lists import load_lists
from rattanworks.utils.arguments import version_number


class ApplyCommand(Command):
    """Accepts both lists as a new version.

    Versions accepted since --base are a conflict, or with --merge are merged in.
    """

    name = "apply"
    help = "accept the lists as a new version"

    def add_arguments(self, parser):
        """Declare the list files, the store, the base version and the audit details."""
        add_list_arguments(parser)
        add_store_arguments(parser)
        parser.add_argument(
            "--base",
            type=version_number,
            help="version the edit started from; needed once there is one",
        )
        parser.add_argument(
            "--merge",
            action="store_true",
            help="keep what others changed since --base, if they changed other entries",
        )
        parser.add_argument("--author", default=default_author())
        parser.add_argument("--message", default="")

    def run(self, arguments):
        """Accept the lists and print the new version.

        Lists equal to those of the current version create no new one.
        """
        if arguments.merge and arguments.base is None:
            raise UsageError("--merge needs --base, the version the edit started from")
        lists = load_lists(arguments.customers, arguments.plans)
        publisher = open_publisher(arguments)
        head, is_new = _accept(publisher, lists, arguments)
        verb = "accepted" if is_new else "unchanged, already in"
        print(f"{verb} version {head.version} ({head.manifest_hash[:12]})")
        return EXIT_SUCCESS


def _accept(publisher, lists, arguments):
    current = publisher.current()
    if not compare_lists(publisher.lists(current.manifest), lists):
        return current.head, False
    if arguments.merge:
        return _accept_merged(publisher, lists, current, arguments)
    _require_base(publisher, current, arguments.base)
    head = publisher.accept(lists, current, arguments.author, arguments.message)
    return head, True


def _accept_merged(publisher, lists, current, arguments):
    base = publisher.version(arguments.base)
    head = publisher.accept_merged(lists, base, arguments.author, arguments.message)
    return head, head.version > current.head.version


def _require_base(publisher, current, base_version):
    newest = current.head.version
    if base_version is None and newest:
        raise ConflictError(
            f"version {newest} was accepted before; see `rattanworks diff`, then name "
            "the version your edit started from by --base"
        )
    if base_version in (None, newest):
        return
    changes = publisher.changes_since(publisher.version(base_version))
    raise ConflictError(
        f"the edit started from version {base_version}: {changes}; see "
        f"`rattanworks diff --from {base_version}`, then apply with "
        f"--base {base_version} --merge, or edit the current version"
    )
