"""`rattanworks history`: show the audit trail."""

from rattanworks.audit.trail import trail_entries
from rattanworks.commands.base import (
    EXIT_SUCCESS,
    Command,
    add_store_arguments,
)
from rattanworks.commands.context import open_publisher, open_store
from rattanworks.moves.record import MoveTrail
from rattanworks.moves.rendering import format_time, render_record
from rattanworks.utils.arguments import positive_number
from rattanworks.utils.codec import encode_json


class HistoryCommand(Command):
    """Shows the accepted versions and the moves with author, time and outcome."""

    name = "history"
    help = "show the audit trail of accepted versions and moves"

    def add_arguments(self, parser):
        """Declare the store, the number of entries and the output format."""
        add_store_arguments(parser)
        parser.add_argument(
            "--limit",
            type=positive_number,
            default=20,
            help="versions and moves to show",
        )
        parser.add_argument("--json", action="store_true", help="one JSON object")

    def run(self, arguments):
        """Print each accepted version and each move, newest first."""
        entries = list(trail_entries(open_publisher(arguments), arguments.limit))
        moves = MoveTrail(open_store(arguments)).moves()[: -arguments.limit - 1 : -1]
        if arguments.json:
            records = [_version_fields(entry) for entry in entries]
            print(encode_json({"versions": records, "moves": moves}).decode())
            return EXIT_SUCCESS
        for entry in entries:
            print(_format_version(entry))
            for text in _change_texts(entry):
                print(f"  {text}")
        for record in moves:
            print(render_record(record))
        return EXIT_SUCCESS


def _change_texts(entry):
    if entry.changes is None:
        return ["its content is no longer kept"]
    return [str(change) for change in entry.changes]


def _format_version(entry):
    manifest = entry.manifest
    return (
        f"version={manifest.version} from={entry.from_version} "
        f"at={format_time(manifest.accepted_at)} author={manifest.author} "
        f"operation={manifest.operation_id} ended=accepted "
        f"message={manifest.message!r}"
    )


def _version_fields(entry):
    manifest = entry.manifest
    return {
        "version": manifest.version,
        "from": entry.from_version,
        "accepted_at": format_time(manifest.accepted_at),
        "author": manifest.author,
        "operation": manifest.operation_id,
        "ended": "accepted",
        "message": manifest.message,
        "changes": _change_texts(entry),
    }
