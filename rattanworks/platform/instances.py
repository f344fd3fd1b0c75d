"""Receives heartbeats and departures of the backend server beside the node."""

import msgspec

from rattanworks.model.announcement import Announcement, Report
from rattanworks.platform.names import INSTANCES_PATH
from rattanworks.utils.codec import decode_json
from rattanworks.utils.logging import log_event
from rattanworks.utils.wsgi import Response, json_response, path_of, read_body, respond

MAX_REPORT_BYTES = 64 * 1024
IS_LEAVING_BY_STATE = {"ready": False, "draining": True}


class _Heartbeat(msgspec.Struct, frozen=True):
    service: str
    address: str
    version: str
    slots: int
    state: str
    sequence: int
    # Milliseconds since the Unix epoch at which the server started.
    started_at: int = msgspec.field(name="born", default=0)


class InstancesApp:
    """WSGI application that takes heartbeats and departures.

    ``service`` and ``address`` are those of the backend server beside the node; a
    heartbeat that names others was sent by another server and is refused.
    ``connections`` is how many connections the server is taken to accept.
    """

    def __init__(self, presence, service, address, connections, heartbeat_seconds):
        self._presence = presence
        self._service = service
        self._address = address
        self._connections = connections
        self._heartbeat_seconds = heartbeat_seconds
        self._handlers_by_method = {
            "PUT": self._handle_heartbeat,
            "DELETE": self._handle_departure,
        }

    def __call__(self, environ, start_response):
        """Serve one request."""
        path = path_of(environ)
        handler = self._handlers_by_method.get(environ["REQUEST_METHOD"])
        if handler is None or not path.startswith(INSTANCES_PATH):
            return respond(start_response, Response(404, b"unknown path\n"))
        instance = path.removeprefix(INSTANCES_PATH)
        return respond(start_response, handler(instance, environ))

    def _handle_heartbeat(self, instance, environ):
        try:
            heartbeat = decode_json(read_body(environ), _Heartbeat)
            report = self._translate(instance, heartbeat)
        except (msgspec.DecodeError, ValueError) as error:
            log_event("report-refused", instance=instance, reason=str(error))
            return Response(400, f"{error}\n".encode())
        self._presence.receive(report)
        return json_response({})

    def _translate(self, instance, heartbeat):
        if heartbeat.service != self._service or heartbeat.address != self._address:
            raise ValueError(
                f"{heartbeat.service} at {heartbeat.address} is not the backend "
                f"server beside this node ({self._service} at {self._address})"
            )
        if heartbeat.state not in IS_LEAVING_BY_STATE:
            raise ValueError(f"unknown state {heartbeat.state!r}")
        if not instance or heartbeat.slots < 1:
            raise ValueError("an instance and at least one slot are needed")
        announcement = Announcement(
            service=heartbeat.service,
            version=heartbeat.version,
            address=heartbeat.address,
            slots=heartbeat.slots,
            connections=self._connections,
            instance=instance,
            heartbeat_seconds=self._heartbeat_seconds,
            started_at=heartbeat.started_at,
        )
        return Report(
            announcement, heartbeat.sequence, IS_LEAVING_BY_STATE[heartbeat.state]
        )

    def _handle_departure(self, instance, environ):
        self._presence.receive_departure(instance)
        return json_response({})
