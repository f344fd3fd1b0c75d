"""HTTP interface of the stand-in for a backend server.

The protocol is described in docs/developer-guide/standins.md.
"""

import threading
import time

from waitress.channel import ClientDisconnected

from rattanworks.standins.backend_behaviour import Behaviour, BehaviourSampler
from rattanworks.standins.backend_chain import ChainCaller
from rattanworks.standins.backend_runs import LoadGauge, RunLog
from rattanworks.utils.codec import decode_json
from rattanworks.utils.wsgi import (
    Response,
    json_response,
    path_of,
    read_body,
    respond,
)

__all__ = ["BackendServerApp", "Behaviour"]

NOT_RUN_HEADER = ("X-Not-Run", "1")
SHEDDING = Response(503, b"shedding\n", (("Retry-After", "1"), NOT_RUN_HEADER))
CANCELLED = Response(499, b"cancelled\n", (NOT_RUN_HEADER,))
TOO_LATE = Response(504, b"the deadline has passed\n", (NOT_RUN_HEADER,))
UNKNOWN_PATH = Response(404, b"unknown path\n")


class BackendServerApp:
    """WSGI application of one stand-in backend server."""

    def __init__(self, service, version, slots, behaviour, seed=0, node=""):
        self.service = service
        self.version = version
        self.is_draining = False
        self._slots = threading.BoundedSemaphore(slots)
        self._slot_count = slots
        self._sampler = BehaviourSampler(behaviour, seed)
        self._runs = RunLog()
        self._load = LoadGauge()
        self._chain = ChainCaller(node)
        self._previous_response = None
        self._handlers_by_path = {
            "/health": self._show_health,
            "/load": self._show_load,
            "/control/runs": lambda environ: json_response(self._runs.by_request_id()),
            "/control/runs-by-key": lambda environ: json_response(self._runs.by_key()),
            "/control/behaviour": self._set_behaviour,
            "/control/drain": self._drain,
            "/control/cancel": self._cancel,
        }

    def __call__(self, environ, start_response):
        """Serve one request."""
        path = path_of(environ)
        handler = self._handlers_by_path.get(path)
        if handler is not None:
            return respond(start_response, handler(environ))
        if path.startswith("/control/"):
            return respond(start_response, UNKNOWN_PATH)
        response, is_truncated = self._serve(environ, path)
        if is_truncated:
            # The Content-Length is that of the whole body: the server closes the
            # connection when the body it gets is shorter.
            respond(start_response, response)
            return [response.body[: len(response.body) // 2]]
        return respond(start_response, response)

    def _serve(self, environ, path):
        """Return the response and whether to truncate its body."""
        body = read_body(environ)
        if self._sampler.draw_close():
            raise ClientDisconnected
        if self.is_draining or self._sampler.is_shedding(self._load.running):
            return SHEDDING, False
        with self._load, self._slots:
            return self._run(environ, path, body)

    def _run(self, environ, path, body):
        started_at = time.monotonic()
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        if time.time() > float(environ.get("HTTP_X_REQUEST_DEADLINE", "inf")):
            return TOO_LATE, False
        if not self._runs.start(request_id, environ.get("HTTP_IDEMPOTENCY_KEY", "")):
            return CANCELLED, False
        call = self._sampler.draw_call(path, self._load.running)
        time.sleep(call.seconds)
        next_status = self._chain.call_next(environ, started_at)
        time.sleep(call.late_seconds)
        headers = (("X-Request-Id", request_id), ("X-Version", self.version))
        if call.is_failed:
            return Response(500, b"fault\n", headers), False
        response = json_response(
            {
                "service": self.service,
                "version": self.version,
                "method": environ["REQUEST_METHOD"],
                "path": path,
                "request_id": request_id,
                "received_bytes": len(body),
                "next_status": next_status,
            }
        )
        status = 200 if next_status in (None, 200) else 502
        response = Response(status, response.body, response.headers + headers)
        previous, self._previous_response = self._previous_response, response
        if call.is_swapped and previous is not None:
            return previous, False
        return response, call.is_truncated

    def _show_health(self, environ):
        status = 200 if self._sampler.behaviour.claims_healthy else 503
        return Response(status, b"ok\n")

    def _show_load(self, environ):
        behaviour = self._sampler.behaviour
        if behaviour.claimed_load is not None:
            return json_response(behaviour.claimed_load)
        running = self._load.running_before(behaviour.claims_lag_seconds)
        return json_response(running / self._slot_count)

    def _set_behaviour(self, environ):
        self._sampler.set(decode_json(read_body(environ), Behaviour))
        return Response(204)

    def _drain(self, environ):
        self.is_draining = True
        return Response(204)

    def _cancel(self, environ):
        self._runs.cancel(read_body(environ).decode())
        return Response(204)
