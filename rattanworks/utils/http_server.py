"""A waitress server that starts, drains and stops cleanly."""

import math
import threading
import time

import waitress
from waitress import wasyncore

from rattanworks.model.route import DEFAULT_LIMITS
from rattanworks.utils.due_answers import DueAnswers
from rattanworks.utils.http_connection import has_input
from rattanworks.utils.http_loop import HttpLoop
from rattanworks.utils.http_parts import channel_class
from rattanworks.utils.idle import wait_until_idle
from rattanworks.utils.thread_pool import OnDemandPool

IN_MEMORY_BYTES = 1024 * 1024 * 1024
RECEIVE_BYTES = 64 * 1024
CONNECTION_LIMIT = 2000
CLEANUP_SECONDS = 1
# Waitress measures idle time by the wall clock, which may jump by seconds.
CLOCK_STEP_SECONDS = 5.0
# An idle connection is closed only when it has been open for this long: before that,
# its first request may be on the way.
FIRST_REQUEST_SECONDS = 1.0
STOP_SECONDS = 1.0
STOP_POLL_SECONDS = 0.005


class HttpServer:
    """Serves a WSGI application on its own thread.

    Requests run on up to ``threads`` threads, which start on demand. Bodies stay in
    memory: hosts have no disk. ``max_body_bytes`` limits each, ``budget`` (a
    MemoryBudget or None) all large ones together. ``delays``, WorkDelays or None,
    records how late requests are handled. With ``order``, a RequestOrder or None,
    requests begin in their turn, and are refused while there is a backlog.
    """

    def __init__(
        self,
        app,
        host,
        port,
        threads,
        max_body_bytes,
        name,
        budget=None,
        delays=None,
        order=None,
    ):
        self._loop = HttpLoop()
        self._server = waitress.create_server(
            app,
            map=self._loop,
            host=host,
            port=port,
            threads=threads,
            _dispatcher=OnDemandPool(threads, name),
            ident=None,
            max_request_body_size=max_body_bytes,
            max_request_header_size=DEFAULT_LIMITS.max_header_bytes,
            recv_bytes=RECEIVE_BYTES,
            inbuf_overflow=IN_MEMORY_BYTES,
            outbuf_overflow=IN_MEMORY_BYTES,
            outbuf_high_watermark=IN_MEMORY_BYTES,
            connection_limit=CONNECTION_LIMIT,
            channel_timeout=DEFAULT_LIMITS.idle_seconds,
            # Lets a running request notice that its caller has disconnected.
            channel_request_lookahead=1,
            cleanup_interval=CLEANUP_SECONDS,
            clear_untrusted_proxy_headers=False,
        )
        self._server.channel_class = channel_class(budget, delays, order)
        if order is not None:
            self._server.add_task = self._begin_or_refuse
        self._server.is_draining = False
        self._server.maintenance = self._maintain
        self._server.loop = self._loop
        self._server.due_answers = DueAnswers()
        # Waitress wakes the loop after each request; here a channel does if needed.
        self._server.pull_trigger = _do_nothing
        self._max_body_bytes = max_body_bytes
        self._header_seconds = DEFAULT_LIMITS.header_seconds
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self.address = f"{host}:{self._server.effective_port}"

    def start(self):
        """Begin to accept connections."""
        self._thread.start()

    def _begin_or_refuse(self, channel):
        """Give a channel with a request that was read to a thread.

        Only the thread that reads may refuse: it answers after it has read.
        """
        is_reading = threading.current_thread() is self._thread
        if is_reading and channel.is_beyond_backlog:
            channel.refuses_next = True
        else:
            self._server.task_dispatcher.add_task(channel)

    def apply(self, limits):
        """Apply CallerLimits from the next request on."""
        adjustments = self._server.adj
        body_bytes = min(self._max_body_bytes, limits.max_body_bytes)
        adjustments.max_request_header_size = limits.max_header_bytes
        # Waitress refuses bodies of this size, not only larger ones.
        adjustments.max_request_body_size = body_bytes + 1
        adjustments.channel_timeout = limits.idle_seconds + CLOCK_STEP_SECONDS
        self._header_seconds = limits.header_seconds

    def _maintain(self, now):
        """Close idle connections, and those whose request head is overdue.

        The time limit of a head starts once the requests before it are answered:
        until then the connection must stay open, and the rest of the head may be
        left unread.
        """
        type(self._server).maintenance(self._server, now)
        oldest = time.monotonic() - self._header_seconds
        for channel in list(self._server.active_channels.values()):
            request = channel.request
            if request is None or request.headers_finished:
                continue
            if channel.requests or channel.total_outbufs_len:
                request.head_timed_since = time.monotonic()
            elif request.head_timed_since < oldest:
                channel.close_reason = "head-overdue"
                channel.will_close = True
        self._loop.refresh_all()

    def _run(self):
        self._loop.run(self._server, self._server.due_answers, self._thread.name)

    def close_after_answers(self):
        """Close each connection after its next answer; still accept new ones."""
        self._server.is_draining = True

    def drain(self):
        """Accept no new connection and close each one after its next answer."""
        self.close_after_answers()
        self._server.trigger.pull_trigger(self._stop_listening)

    @property
    def is_listening(self):
        """Return whether new connections are accepted."""
        return self._server.socket is not None

    def _stop_listening(self):
        # Connections that wait in the backlog are accepted first, since their
        # requests may be on the way; the close follows the last accept at once.
        listener = self._server.socket
        while self.is_listening:
            try:
                connection, address = listener.accept()
            except OSError:
                listener.close()
                break
            self._server.set_socket_options(connection)
            self._server.channel_class(
                self._server,
                connection,
                address,
                self._server.adj,
                map=self._server._map,
            )
        wasyncore.dispatcher.close(self._server)

    def _close_connections(self):
        self._stop_listening()
        for channel in list(self._server.active_channels.values()):
            channel.close_reason = "stopped"
            channel.handle_close()

    def close_idle_connections(self, opened_before=math.inf):
        """Close the connections on which no request runs, arrives or is answered.

        Connections opened later than the monotonic time ``opened_before``, or less
        than FIRST_REQUEST_SECONDS ago, stay, since their first request may be on the
        way. The work runs on the thread that reads, so a request is either answered
        or never read.
        """
        self._server.trigger.pull_trigger(lambda: self._close_idle(opened_before))

    def _close_idle(self, opened_before):
        opened_before = min(opened_before, time.monotonic() - FIRST_REQUEST_SECONDS)
        for channel in list(self._server.active_channels.values()):
            is_old = channel.opened_at < opened_before
            # Closing a connection with unread input would reset it.
            if is_old and not _is_busy(channel) and not has_input(channel.socket):
                channel.handle_close()

    @property
    def is_idle(self):
        """Return whether no request runs or arrives and every answer is flushed."""
        return self.active_count == 0

    @property
    def active_count(self):
        """Return the number of connections with a request or an unsent answer."""
        return sum(map(_is_busy, list(self._server.active_channels.values())))

    @property
    def has_connections(self):
        """Return whether any connection is open."""
        return bool(self._server.active_channels)

    @property
    def is_closed(self):
        """Return whether no connection is open and none can be opened any more.

        The thread that reads may accept a connection until it has stopped listening,
        some time after it was told to.
        """
        return not self.is_listening and not self.has_connections

    def wait_until_idle(self, timeout):
        """Wait up to ``timeout`` seconds; return whether the server is idle."""
        return wait_until_idle(self, timeout)

    def stop(self):
        """Close the listening socket, the connections and the worker threads.

        Connections are closed first: a request that arrived while the workers end
        would never be answered.
        """
        if self._thread.is_alive():
            self._server.trigger.pull_trigger(self._close_connections)
            deadline = time.monotonic() + STOP_SECONDS
            while not self.is_closed and time.monotonic() < deadline:
                time.sleep(STOP_POLL_SECONDS)
        self._server.task_dispatcher.shutdown(timeout=STOP_SECONDS)
        self._server.close()


def _do_nothing():
    """Leave the loop asleep."""


def _is_busy(channel):
    return bool(channel.requests or channel.request or channel.total_outbufs_len)
