"""`rattanworks move`: start a move to a new version, or withdraw it."""

import datetime
import time

from rattanworks.adapters.grpc_control import GrpcControlPeers
from rattanworks.adapters.system_clock import SystemClock
from rattanworks.commands.base import EXIT_SUCCESS, Command, add_store_arguments
from rattanworks.commands.context import (
    ask_any_node,
    default_author,
    open_store,
)
from rattanworks.exceptions import (
    MoveRefusedError,
    PeerUnavailableError,
    UsageError,
)
from rattanworks.model.control import REPLIES_BY_REQUEST, StatusRequest
from rattanworks.moves.rendering import render_service
from rattanworks.moves.requests import MoveRequests


class MoveCommand(Command):
    """Starts or withdraws a gradual move of a service's traffic to another version."""

    name = "move"
    help = "move a service's traffic to a new version, or withdraw the move"

    def add_arguments(self, parser):
        """Declare the service, the version, the finish time and the withdrawal."""
        parser.add_argument("service", metavar="SERVICE")
        parser.add_argument("--to", metavar="VERSION", help="version to move to")
        parser.add_argument(
            "--by", metavar="TIME", help="finish time (ISO 8601; UTC without an offset)"
        )
        parser.add_argument(
            "--within", metavar="SECONDS", type=float, help="time until the finish"
        )
        parser.add_argument(
            "--again", action="store_true", help="allow a version once taken back"
        )
        parser.add_argument(
            "--withdraw", action="store_true", help="take the running move back"
        )
        parser.add_argument(
            "--node", help="control address of a node (default: found in the store)"
        )
        parser.add_argument("--author", default=default_author())
        add_store_arguments(parser)

    def run(self, arguments):
        """Start or withdraw the move and print the service's state."""
        _check_options(arguments)
        store = open_store(arguments)
        requests = MoveRequests(store, SystemClock())
        if arguments.withdraw:
            state = requests.withdraw(arguments.service, arguments.author)
        else:
            state = requests.start(
                arguments.service,
                arguments.to,
                _finish_time(arguments),
                arguments.author,
                _announced_versions(arguments),
                arguments.again,
            )
        print(render_service(state, time.time()))
        return EXIT_SUCCESS


def _check_options(arguments):
    start_options = (arguments.to, arguments.by, arguments.within)
    if arguments.withdraw:
        if any(value is not None for value in start_options):
            raise UsageError("--withdraw takes no --to, --by or --within; drop them")
        return
    if not arguments.to or (arguments.by is None) == (arguments.within is None):
        raise UsageError("give --to VERSION and either --by TIME or --within SECONDS")


def _finish_time(arguments):
    if arguments.within is not None:
        return time.time() + arguments.within
    try:
        finish_time = datetime.datetime.fromisoformat(arguments.by)
    except ValueError:
        raise UsageError(
            f"--by {arguments.by}: not a time; write it like 2030-05-01T18:00:00+00:00"
        ) from None
    if finish_time.tzinfo is None:
        finish_time = finish_time.replace(tzinfo=datetime.UTC)
    return finish_time.timestamp()


def _announced_versions(arguments):
    """Return the service's versions with a serving endpoint, as one node reports."""
    peers = GrpcControlPeers(REPLIES_BY_REQUEST)
    try:
        reply = ask_any_node(peers, arguments, StatusRequest())
    except PeerUnavailableError as error:
        raise MoveRefusedError(
            f"it is unknown which versions serve: {error}"
        ) from error
    finally:
        peers.close()
    return {
        record.version
        for record in reply.members
        if record.service == arguments.service and record.accepts_calls
    }
