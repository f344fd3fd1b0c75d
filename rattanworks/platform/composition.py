"""Connects a node to the platform's services instead of the stand-ins."""

from rattanworks.adapters.http_admin import AdminApp
from rattanworks.node.adapters import Adapters
from rattanworks.platform.backend import PlatformBackendServer
from rattanworks.platform.callers import PlatformDialect
from rattanworks.platform.instances import InstancesApp
from rattanworks.platform.names import READY_PATH
from rattanworks.platform.store import PlatformStore

# Connections to a backend server beyond its slots, as some are slow to close.
SPARE_CONNECTIONS = 4
# Upper bound on connections to a backend server: none is expected to announce more
# slots.
MAX_CONNECTIONS = 128


class PlatformAdapters(Adapters):
    """Builds the adapters that speak the platform's protocol.

    The callers' application also takes the calls that the local backend server makes.
    """

    dialect = PlatformDialect()

    def __init__(self, settings):
        self._settings = settings

    def new_store(self, settings):
        """Return a client of the platform's store."""
        store = settings.store
        return PlatformStore(
            store.address,
            store.prefix,
            store.timeout_seconds,
            self._settings.min_lease_seconds,
        )

    def new_backend(self, node, announcement):
        """Return a client of the backend server that sent the announcement."""
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
            node.clock,
            node.settings.host.service,
            self._settings.backend_address,
            MAX_CONNECTIONS,
            self._settings.heartbeat_seconds,
        )

    def new_admin_app(self, node):
        """Return the WSGI application for operators and readiness checks."""
        return AdminApp(
            node.registry, node.status, lambda: node.serves_callers, READY_PATH
        )
