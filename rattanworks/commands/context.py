"""Access to the store and the nodes, shared by several subcommands."""

import getpass

from rattanworks.adapters.http_store import HttpStore
from rattanworks.adapters.system_clock import SystemClock
from rattanworks.distribution.publisher import Publisher
from rattanworks.exceptions import PeerUnavailableError
from rattanworks.membership.contacts import list_contacts

STORE_TIMEOUT_SECONDS = 5.0
PEER_TIMEOUT_SECONDS = 3.0


def open_store(arguments):
    """Return a client of the store at --store, under the key prefix --prefix."""
    return HttpStore(arguments.store, arguments.prefix, STORE_TIMEOUT_SECONDS)


def open_publisher(arguments):
    """Return a Publisher on the store that the arguments name."""
    return Publisher(open_store(arguments), SystemClock())


def ask_any_node(peers, arguments, message):
    """Send ``message`` to a node and return its reply.

    The node is the one given by --node, or else the first of the contacts in the
    store that answers. Raise PeerUnavailableError when none answers.
    """
    for address in _control_addresses(arguments):
        try:
            return peers.request(address, message, PEER_TIMEOUT_SECONDS)
        except PeerUnavailableError:
            continue
    raise PeerUnavailableError(
        "no node answered; start the nodes or name one that runs with --node"
    )


def _control_addresses(arguments):
    if arguments.node:
        return [arguments.node]
    return list_contacts(open_store(arguments))


def default_author():
    """Return the login name of the operator, or "unknown"."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
