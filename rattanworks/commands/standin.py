"""`rattanworks standin`: run a stand-in for the store or a backend server."""

import signal
import sys
import threading

from rattanworks.commands.base import EXIT_SUCCESS, Command
from rattanworks.standins.backend import BackendServerApp, Behaviour
from rattanworks.standins.backend_announcer import Announcer
from rattanworks.standins.store import FaultController, MemoryStore
from rattanworks.standins.store_app import StoreApp
from rattanworks.standins.store_file import load_records, save_records
from rattanworks.utils.codec import decode_json
from rattanworks.utils.http_server import HttpServer
from rattanworks.utils.logging import configure_logging, log_event

STORE_THREADS = 96
BACKEND_EXTRA_THREADS = 64
MAX_STORE_BODY_BYTES = 2 * 1024 * 1024
MAX_BACKEND_BODY_BYTES = 128 * 1024 * 1024


class StandinCommand(Command):
    """Runs a stand-in for the store or for a backend server."""

    name = "standin"
    help = "run a stand-in for the store or a backend server"

    def add_arguments(self, parser):
        """Declare a subcommand for each kind of stand-in."""
        subparsers = parser.add_subparsers(dest="kind", required=True, metavar="KIND")
        store = subparsers.add_parser("store", help="the key-value service")
        store.add_argument("--host", default="127.0.0.1")
        store.add_argument("--port", type=int, default=7100)
        store.add_argument("--data", help="file that keeps the records over a restart")
        backend = subparsers.add_parser("backend", help="a backend server")
        backend.add_argument("--host", default="127.0.0.1")
        backend.add_argument("--port", type=int, default=0)
        backend.add_argument("--service", required=True)
        backend.add_argument("--version", dest="service_version", default="v1")
        backend.add_argument("--slots", type=int, default=6)
        backend.add_argument("--connections", type=int, default=100)
        backend.add_argument("--node", default="", help="local listener of its node")
        backend.add_argument("--behaviour", default="{}", help="Behaviour as JSON")
        backend.add_argument("--seed", type=int, default=0)

    def run(self, arguments):
        """Run the stand-in until SIGTERM or SIGINT."""
        configure_logging(sys.stderr, standin=arguments.kind)
        runners_by_kind = {"store": _run_store, "backend": _run_backend}
        stopped = threading.Event()
        signal.signal(signal.SIGTERM, lambda number, frame: stopped.set())
        signal.signal(signal.SIGINT, lambda number, frame: stopped.set())
        runners_by_kind[arguments.kind](arguments, stopped)
        return EXIT_SUCCESS


def _run_store(arguments, stopped):
    store = MemoryStore()
    if arguments.data:
        load_records(store, arguments.data)
    app = StoreApp(store, FaultController())
    server = HttpServer(
        app,
        arguments.host,
        arguments.port,
        STORE_THREADS,
        MAX_STORE_BODY_BYTES,
        "store",
    )
    server.start()
    log_event("standin-listening", address=server.address)
    stopped.wait()
    server.stop()
    if arguments.data:
        store.expire_all_leases()
        save_records(store, arguments.data)


def _run_backend(arguments, stopped):
    behaviour = decode_json(arguments.behaviour.encode(), Behaviour)
    app = BackendServerApp(
        arguments.service,
        arguments.service_version,
        arguments.slots,
        behaviour,
        arguments.seed,
        arguments.node,
    )
    server = HttpServer(
        app,
        arguments.host,
        arguments.port,
        arguments.slots + BACKEND_EXTRA_THREADS,
        MAX_BACKEND_BODY_BYTES,
        "backend",
    )
    server.start()
    log_event("standin-listening", address=server.address)
    announcer = Announcer(arguments, server.address)
    announcer.start()
    stopped.wait()
    announcer.leave()
    app.is_draining = True
    server.wait_until_idle(timeout=30)
    server.stop()
