"""`rattanworks collect`: delete the content of old versions from the store."""

from rattanworks.commands.base import EXIT_SUCCESS, Command, add_store_arguments
from rattanworks.commands.context import open_store
from rattanworks.distribution.collector import GarbageCollector
from rattanworks.utils.arguments import positive_number


class CollectCommand(Command):
    """Deletes the content of all but the newest versions; the audit trail stays."""

    name = "collect"
    help = "delete the content of old versions from the store"

    def add_arguments(self, parser):
        """Declare the store and the number of versions to keep whole."""
        add_store_arguments(parser)
        parser.add_argument(
            "--keep", type=positive_number, default=1000, help="versions kept whole"
        )

    def run(self, arguments):
        """Delete the content and print the number of deleted blobs."""
        collection = GarbageCollector(open_store(arguments)).collect(arguments.keep)
        print(
            f"deleted {collection.deleted_blobs} blobs; versions from "
            f"{collection.kept_from} on are whole"
        )
        return EXIT_SUCCESS
