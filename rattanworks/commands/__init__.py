"""Subcommands of the command line; each has a module of its own."""

from rattanworks.commands.apply import ApplyCommand
from rattanworks.commands.bench import BenchCommand
from rattanworks.commands.check import CheckCommand
from rattanworks.commands.collect import CollectCommand
from rattanworks.commands.demo import DemoCommand
from rattanworks.commands.diff import DiffCommand
from rattanworks.commands.history import HistoryCommand
from rattanworks.commands.move import MoveCommand
from rattanworks.commands.node import NodeCommand
from rattanworks.commands.standin import StandinCommand
from rattanworks.commands.status import StatusCommand

COMMANDS = (
    CheckCommand(),
    DiffCommand(),
    ApplyCommand(),
    HistoryCommand(),
    CollectCommand(),
    MoveCommand(),
    StatusCommand(),
    NodeCommand(),
    DemoCommand(),
    BenchCommand(),
    StandinCommand(),
)
