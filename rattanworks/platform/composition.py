"""Wires a node to the platform instead of the stand-ins."""

from rattanworks.adapters.http_admin import AdminApp
from rattanworks.node.adapters import Adapters
from rattanworks.platform.backend import PlatformBackendServer
from rattanworks.platform.callers import PlatformDialect
from rattanworks.platform.instances import InstancesApp
from rattanworks.platform.names import READY_PATH
from rattanworks.platform.store import PlatformStore

# Connections to a backend server beyond its slots, for those that end slowly.
SPARE_CONNECTIONS = 4
# The most slots that any backend server is expected to announce.
MAX_CONNECTIONS = 128


class PlatformAdapters(Adapters):
    """Builds the adapters that speak the platform's protocol.

    One callers' application serves callers and the backend server's own calls.
    """

    dialect = PlatformDialect()

    def __init__(self, settings):
        self._settings = settings

    def new_store(self, settings):
        """Return the Store of the platform."""
        store = settings.store
        return PlatformStore(
            store.address,
            store.prefix,
            store.timeout_seconds,
            self._settings.least_lease_seconds,
        )

    def new_backend(self, node, announcement):
        """Return the BackendServer that reported."""
        connections = min(
            announcement.slots + SPARE_CONNECTIONS, announcement.connections
        )
        return PlatformBackendServer(
            announcement.address,
            connections,
            announcement.instance,
            node.clock,
            node.answer_bounds,
        )

    def new_local_app(self, node):
        """Return the WSGI application for the backend server's reports."""
        return InstancesApp(
            node.presence,
            node.settings.host.service,
            self._settings.backend_address,
            MAX_CONNECTIONS,
            self._settings.heartbeat_seconds,
        )

    def new_admin_app(self, node):
        """Return the WSGI application for operators and the readiness question."""
        return AdminApp(
            node.registry, node.status, lambda: node.serves_callers, READY_PATH
        )
