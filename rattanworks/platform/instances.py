"""Receives heartbeats and departures of the backend server beside the node."""

import re
from typing import Annotated

import msgspec

from rattanworks.model.announcement import Announcement, Report, Slots
from rattanworks.model.endpoint import MAX_NAME_LENGTH, Counter, Name
from rattanworks.platform.names import INSTANCES_PATH
from rattanworks.utils.codec import decode_json
from rattanworks.utils.logging import log_event
from rattanworks.utils.wsgi import Response, json_response, path_of, read_body, respond

MAX_REPORT_BYTES = 64 * 1024
# How far the clock that dated a server's start may be ahead of this node's.
MAX_START_AHEAD_SECONDS = 24 * 3600.0
MILLISECONDS_PER_SECOND = 1000
# The id is sent on as a header of each call.
INSTANCE_PATTERN = re.compile(rf"[!-~]{{1,{MAX_NAME_LENGTH}}}")
IS_LEAVING_BY_STATE = {"ready": False, "draining": True}


class _Heartbeat(msgspec.Struct, frozen=True):
    service: Name
    address: Name
    version: Annotated[Name, msgspec.Meta(min_length=1)]
    slots: Slots
    state: Name
    sequence: Counter
    # Milliseconds since the Unix epoch at which the server started.
    started_at: Counter = msgspec.field(name="born", default=0)
    # Not used: a report in which they have another type is not the server's.
    failure_domain: Name = msgspec.field(name="zone", default="")
    warm_up_left: Name = msgspec.field(name="warmupLeft", default="")


class InstancesApp:
    """WSGI application that takes heartbeats and departures.

    ``service`` and ``address`` are those of the backend server beside the node; a
    heartbeat that names others was sent by another server and is refused.
    ``connections`` is how many connections the server is taken to accept.
    """

    def __init__(
        self, presence, clock, service, address, connections, heartbeat_seconds
    ):
        self._presence = presence
        self._clock = clock
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
        if not INSTANCE_PATTERN.fullmatch(instance):
            return respond(start_response, _refuse(instance, "no instance's id"))
        return respond(start_response, handler(instance, environ))

    def _handle_heartbeat(self, instance, environ):
        try:
            heartbeat = decode_json(_read_report(environ), _Heartbeat)
            report = self._translate(instance, heartbeat)
        except (msgspec.DecodeError, ValueError) as error:
            return _refuse(instance, str(error))
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
        ahead = heartbeat.started_at / MILLISECONDS_PER_SECOND - self._clock.now()
        if ahead > MAX_START_AHEAD_SECONDS:
            raise ValueError(f"the server's start is {ahead:.0f} s in the future")
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


def _read_report(environ):
    size = int(environ.get("CONTENT_LENGTH") or 0)
    if size > MAX_REPORT_BYTES:
        raise ValueError(f"a report has at most {MAX_REPORT_BYTES} bytes, not {size}")
    return read_body(environ)


def _refuse(instance, reason):
    log_event("report-refused", instance=instance[:MAX_NAME_LENGTH], reason=reason)
    return Response(400, f"{reason}\n".encode())
