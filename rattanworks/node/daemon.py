"""The node daemon: start, run until told to stop, drain, stop."""

import gc
import os
import signal
import sys
import threading
import time

from rattanworks.exceptions import InvalidInputGroup
from rattanworks.membership.contacts import read_contacts
from rattanworks.node.composition import build_node
from rattanworks.node.lifecycle import Phase
from rattanworks.utils.backoff import FullJitterBackoff
from rattanworks.utils.idle import wait_until_idle
from rattanworks.utils.logging import log_event
from rattanworks.utils.signals import wait_with_signals

READY_POLL_SECONDS = 0.2
# A node that knows no endpoint but its own can serve few calls; alone in the mesh
# it serves all the same after this time.
JOIN_PATIENCE_SECONDS = 2.0
LEAVE_TELL_SECONDS = 1.0
JOIN_RETRY_BASE_SECONDS = 0.5
JOIN_RETRY_CAP_SECONDS = 4.0
CONTROL_GRACE_SECONDS = 0.5
DRAIN_QUIET_SECONDS = 0.3
DRAIN_LINGER_SECONDS = 3.0
DRAIN_POLL_SECONDS = 0.02
DRAINED_LISTENERS = ("callers", "local", "peers")
EXIT_FORCED = 1
SWITCH_INTERVAL_SECONDS = 0.0005


class Daemon:
    """Runs one node until a signal asks it to stop.

    ``settings_file``, a WatchedFile, says when the settings may have changed.
    """

    def __init__(self, settings, adapters=None, settings_file=None):
        self._node = build_node(settings, adapters)
        self._settings_file = settings_file
        self._stop_requested = threading.Event()
        self._join_backoff = FullJitterBackoff(
            JOIN_RETRY_BASE_SECONDS, JOIN_RETRY_CAP_SECONDS
        )
        self._join_due = 0.0
        self._are_watchers_started = False

    @property
    def node(self):
        """Return the node that runs."""
        return self._node

    def run(self):
        """Run until SIGTERM or SIGINT; a second signal ends at once.

        SIGHUP has the settings read again.
        """
        sys.setswitchinterval(SWITCH_INTERVAL_SECONDS)
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)
        signal.signal(signal.SIGHUP, self._on_reload_signal)
        self.start()
        wait_with_signals(self._stop_requested, self._reload_if_changed)
        self.stop()

    def _on_signal(self, number, frame):
        if self._stop_requested.is_set():
            os._exit(EXIT_FORCED)
        self._stop_requested.set()

    def _on_reload_signal(self, number, frame):
        if self._settings_file is not None:
            self._settings_file.expect_change()

    def _reload_if_changed(self):
        settings_file = self._settings_file
        if settings_file is None or not settings_file.is_changed():
            return
        try:
            settings = settings_file.load()
        except InvalidInputGroup as group:
            reasons = "; ".join(str(fault) for fault in group.exceptions)
            log_event("settings-refused", path=settings_file.path, reason=reasons)
            return
        self._node.apply(settings)

    def start(self):
        """Start all parts and keep trying until the node is ready."""
        node = self._node
        node.control_server.start()
        for server in node.servers_by_listener.values():
            server.start()
        node.heartbeats.start()
        node.spreader.start()
        node.gossiper.start()
        node.moves.start()
        node.orders.start()
        log_event("node-listening", **self.addresses())
        threading.Thread(target=self._become_ready, name="start", daemon=True).start()

    def addresses(self):
        """Return the address of each listener by its name."""
        servers = self._node.servers_by_listener
        addresses = {name: server.address for name, server in servers.items()}
        return {**addresses, "control": self._node.control_server.address}

    def _become_ready(self):
        join_until = self._node.clock.monotonic() + JOIN_PATIENCE_SECONDS
        while not self._stop_requested.is_set():
            has_learned = self._try_to_learn()
            if has_learned:
                # Watchers are the contacts by which nodes that start together meet.
                self._start_watchers()
            is_patient = self._node.clock.monotonic() < join_until
            if has_learned and (self._has_peers() or not is_patient):
                break
            self._stop_requested.wait(READY_POLL_SECONDS)
        # What start-up built lives as long as the node: no collection need visit it.
        gc.collect()
        gc.freeze()
        if self._node.lifecycle.advance(Phase.READY):
            log_event("node-ready", version=self._node.configuration.head.version)
        while not self._stop_requested.is_set() and not self._has_peers():
            self._stop_requested.wait(READY_POLL_SECONDS)
            self._try_to_join()

    def _start_watchers(self):
        if self._are_watchers_started:
            return
        self._are_watchers_started = True
        for watcher in self._node.watchers:
            watcher.start()

    def _try_to_learn(self):
        if not self._has_peers():
            self._try_to_join()
        return self._node.startup.try_once()

    def _has_peers(self):
        return len(self._node.members.present()) > 1

    def _try_to_join(self):
        node = self._node
        now = node.clock.monotonic()
        if now < self._join_due:
            return False
        self._join_due = now + self._join_backoff.next_delay()
        if node.gossiper.join(node.settings.membership.contacts):
            return True
        # The store is asked last: in a storm, every node starts at once.
        return node.gossiper.join(
            read_contacts(node.store, node.control_server.address)
        )

    def stop(self):
        """Drain: take no new calls, let running ones end, then stop."""
        node = self._node
        drain_until = time.monotonic() + node.settings.drain.timeout_seconds
        node.lifecycle.advance(Phase.DRAINING)
        began = time.monotonic()
        log_event(
            "node-draining",
            timeout_seconds=node.settings.drain.timeout_seconds,
            accept_seconds=node.settings.drain.accept_seconds,
            **self._at_work(),
        )
        roles = threading.Thread(target=self._give_roles_up, name="roles", daemon=True)
        roles.start()
        self._serve_until_told(drain_until)
        node.heartbeats.stop()
        node.owner.stop()
        node.gossiper.flush(LEAVE_TELL_SECONDS)
        self._drain_listeners(drain_until)
        log_event(
            "node-drained",
            seconds=round(time.monotonic() - began, 3),
            has_timed_out=time.monotonic() >= drain_until,
            **self._at_work(),
        )
        roles.join(max(0.0, drain_until - time.monotonic()))
        node.gossiper.stop()
        node.spreader.stop()
        for server in node.servers_by_listener.values():
            server.stop()
        node.claims.close()
        node.declarer.close()
        node.control_server.stop(CONTROL_GRACE_SECONDS)
        node.control_peers.close()
        node.store.close()
        node.lifecycle.advance(Phase.STOPPED)
        log_event("node-stopped", seconds=round(time.monotonic() - began, 3))

    def _at_work(self):
        """Return the number of calls at work by listener."""
        servers = self._node.servers_by_listener
        return {name: servers[name].at_work for name in DRAINED_LISTENERS}

    def _give_roles_up(self):
        for watcher in self._node.watchers:
            watcher.stop()
        self._node.moves.stop()
        self._node.orders.stop()

    def _serve_until_told(self, until):
        """Serve on, backend server included, while callers learn of the stop.

        The backend server goes on without its node: each second in which the node
        serves it is one in which the service has its slots.
        """
        self._node.servers_by_listener["callers"].close_after_answers()
        left = max(0.0, until - time.monotonic())
        time.sleep(min(left, self._node.settings.drain.accept_seconds))

    def _drain_listeners(self, until):
        """Wait until calls in flight, bodies that arrive included, have ended.

        ``until`` is the monotonic time at which the wait ends in any case.
        """
        node = self._node
        callers = node.servers_by_listener["callers"]
        callers.drain()
        # An idle connection that is closed may cross its next request: callers
        # get time to learn from an answer that it is the connection's last.
        linger = DRAIN_LINGER_SECONDS - node.settings.drain.accept_seconds
        linger_until = min(until, time.monotonic() + linger)
        while callers.has_connections and time.monotonic() < linger_until:
            time.sleep(DRAIN_POLL_SECONDS)
        # A connection that stays open could bring a request until the very end.
        while callers.has_connections and time.monotonic() < until:
            callers.close_idle_connections()
            time.sleep(DRAIN_POLL_SECONDS)
        for name in DRAINED_LISTENERS:
            # Entries that have not heard the news yet still send calls; a quiet
            # spell shows that all have.
            left = max(0.0, until - time.monotonic())
            wait_until_idle(node.servers_by_listener[name], left, DRAIN_QUIET_SECONDS)
