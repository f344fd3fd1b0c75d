"""Factories of the adapters that connect a node to other systems.

The defaults speak the protocols of this project's stand-ins. A deployment with
other protocols overrides the methods that differ.
"""

from rattanworks.adapters.http_admin import AdminApp
from rattanworks.adapters.http_backend import HttpBackendServer
from rattanworks.adapters.http_callers import CallersApp, CallersDialect
from rattanworks.adapters.http_local import LocalApp
from rattanworks.adapters.http_store import HttpStore

# Threads reserved for refusing calls without delay while all others are busy.
REFUSAL_THREADS = 4


class Adapters:
    """Builds the adapters of one node.

    ``dialect`` translates the HTTP headers of callers' requests and answers.
    """

    dialect = CallersDialect()

    def new_store(self, settings):
        """Return the Store at the address in a NodeSettings."""
        store = settings.store
        return HttpStore(store.address, store.prefix, store.timeout_seconds)

    def new_backend(self, node, announcement):
        """Return the BackendServer described by an Announcement."""
        return HttpBackendServer(
            announcement.address,
            announcement.connections,
            node.clock,
            node.answer_bounds,
        )

    def new_callers_app(self, node):
        """Return the WSGI application for outside callers."""
        traffic = node.settings.traffic
        return self._callers_app(
            node, traffic.callers_threads, node.lifecycle.call_deadline
        )

    def new_local_app(self, node):
        """Return the WSGI application for the backend server beside the node."""
        threads = node.settings.traffic.local_threads
        calls = self._callers_app(node, threads, node.lifecycle.local_call_deadline)
        return LocalApp(calls, node.serve_announced, node.owner.leave)

    def _callers_app(self, node, threads, call_deadline):
        return CallersApp(
            node.entry,
            call_deadline,
            node.clock,
            node.settings.traffic.default_timeout_seconds,
            max(1, threads - REFUSAL_THREADS),
            self.dialect,
        )

    def new_admin_app(self, node):
        """Return the WSGI application for operators."""
        return AdminApp(node.registry, node.status, lambda: node.lifecycle.is_ready)
