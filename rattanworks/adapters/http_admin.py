"""The operators' HTTP interface of a node: metrics, status and readiness."""

from prometheus_client import generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from rattanworks.utils.wsgi import Response, json_response, path_of, respond


class AdminApp:
    """WSGI application on the admin listener.

    ``is_ready()`` returns whether callers may be sent to this node.
    """

    def __init__(self, registry, status, is_ready, ready_path="/ready"):
        self._registry = registry
        self._status = status
        self._is_ready = is_ready
        self._handlers_by_path = {
            "/metrics": self._metrics,
            "/status": self._show_status,
            ready_path: self._ready,
        }

    def __call__(self, environ, start_response):
        """Serve one request."""
        handler = self._handlers_by_path.get(path_of(environ))
        if handler is None:
            return respond(start_response, Response(404, b"unknown path\n"))
        return respond(start_response, handler())

    def _metrics(self):
        content = generate_latest(self._registry)
        return Response(200, content, (("Content-Type", CONTENT_TYPE_LATEST),))

    def _show_status(self):
        return json_response(self._status())

    def _ready(self):
        if self._is_ready():
            return Response(200, b"ready\n")
        return Response(503, b"not ready\n")
