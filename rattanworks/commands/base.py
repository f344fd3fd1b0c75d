"""Base class of the subcommands, and arguments that several of them share."""

import abc

EXIT_SUCCESS = 0


class Command(abc.ABC):
    """One subcommand of the command line."""

    name = ""
    help = ""

    @abc.abstractmethod
    def add_arguments(self, parser):
        """Declare the subcommand's arguments on an argparse parser."""

    @abc.abstractmethod
    def run(self, arguments):
        """Run the subcommand and return the exit status."""


def add_store_arguments(parser):
    """Declare the address of the store and the key prefix."""
    parser.add_argument(
        "--store", default="127.0.0.1:7100", help="address of the store (HOST:PORT)"
    )
    parser.add_argument("--prefix", default="mesh", help="key prefix of the mesh")


def add_list_arguments(parser):
    """Declare the files of the customers list and the plans list."""
    parser.add_argument("customers", help="customers list (TOML)")
    parser.add_argument("plans", help="plans list (TOML)")
