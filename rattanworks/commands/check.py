"""`rattanworks check`: check the operators' lists."""

from rattanworks.commands.base import EXIT_SUCCESS, Command, add_list_arguments
from rattanworks.settings.lists import load_lists


class CheckCommand(Command):
    """Checks each list and the references between them."""

    name = "check"
    help = "check the customers and plans lists"

    def add_arguments(self, parser):
        """Declare the list files."""
        add_list_arguments(parser)

    def run(self, arguments):
        """Print the size of the lists, or raise all their faults as a group."""
        lists = load_lists(arguments.customers, arguments.plans)
        print(
            f"valid: {len(lists.customers_by_id)} customers, "
            f"{len(lists.plans_by_name)} plans"
        )
        return EXIT_SUCCESS
