"""The HTTP interface for the local backend server: announcements and its calls."""

from rattanworks.model.announcement import Announcement
from rattanworks.utils.codec import DecodeError, decode_json
from rattanworks.utils.sockets import split_address
from rattanworks.utils.wsgi import Response, path_of, read_body, respond

ANNOUNCE_PATH = "/rattanworks/announce"
LEAVE_PATH = "/rattanworks/leave"


class LocalApp:
    """WSGI application that adds announcements to the callers' interface.

    ``on_announce(announcement)`` is called when the backend server announces
    itself, ``on_leave()`` when it leaves.
    """

    def __init__(self, callers_app, on_announce, on_leave):
        self._callers_app = callers_app
        self._handlers_by_path = {
            ANNOUNCE_PATH: self._announce,
            LEAVE_PATH: self._leave,
        }
        self._on_announce = on_announce
        self._on_leave = on_leave

    def __call__(self, environ, start_response):
        """Serve one request."""
        handler = self._handlers_by_path.get(path_of(environ))
        if handler is None:
            return self._callers_app(environ, start_response)
        return respond(start_response, handler(environ))

    def _announce(self, environ):
        try:
            announcement = decode_json(read_body(environ), Announcement)
            split_address(announcement.address)
        except (DecodeError, ValueError) as error:
            return Response(400, f"{error}; see the page on stand-ins\n".encode())
        self._on_announce(announcement)
        return Response(204)

    def _leave(self, environ):
        self._on_leave()
        return Response(204)
