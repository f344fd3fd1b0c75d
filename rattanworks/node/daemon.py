"""The node daemon: starts a node, runs it until a signal, drains and stops it."""

import gc
import os
import signal
import sys
import threading
import time

from rattanworks.exceptions import InvalidInputGroup
from rattanworks.membership.contacts import ContactProbe, read_contacts
from rattanworks.node.composition import build_node
from rattanworks.node.lifecycle import Phase
from rattanworks.node.stopping import MAX_EXIT_SECONDS, plan_stop
from rattanworks.utils.backoff import FullJitterBackoff
from rattanworks.utils.logging import flush_log, log_event
from rattanworks.utils.signals import wait_with_signals

READY_POLL_SECONDS = 0.2
# A node that knows no other member can serve few calls, so it waits this long for one
# before it becomes ready. After that it serves even as the only node of the mesh.
JOIN_TIMEOUT_SECONDS = 2.0
LEAVE_FLUSH_SECONDS = 1.0
# Half of the time for the exit: neighbours already know that the node is leaving, and
# one that does not answer must not delay the end of the process.
GONE_FLUSH_SECONDS = MAX_EXIT_SECONDS / 2
JOIN_RETRY_BASE_SECONDS = 0.5
JOIN_RETRY_CAP_SECONDS = 4.0
CONTROL_GRACE_SECONDS = 0.5
DRAIN_QUIET_SECONDS = 0.3
DRAIN_POLL_SECONDS = 0.02
INTERNAL_LISTENERS = ("local", "peers")
DRAINED_LISTENERS = ("callers", *INTERNAL_LISTENERS)
FORCED_EXIT_STATUS = 1
LOG_FLUSH_SECONDS = 0.05
SWITCH_INTERVAL_SECONDS = 0.0005


class Daemon:
    """Runs one node until a signal requests a stop.

    ``settings_file``, a WatchedFile or None, is checked for changed settings.
    """

    def __init__(self, settings, adapters=None, settings_file=None):
        self._node = build_node(settings, adapters)
        self._settings_file = settings_file
        self._stop_requested = threading.Event()
        self._signal_count = 0
        self._stop_requested_at = 0.0
        self._contact_probe = ContactProbe(self._node.control_peers)
        self._join_backoff = FullJitterBackoff(
            JOIN_RETRY_BASE_SECONDS, JOIN_RETRY_CAP_SECONDS
        )
        self._join_due = 0.0
        self._are_watchers_started = False

    @property
    def node(self):
        """Return the Node that the daemon runs."""
        return self._node

    def run(self):
        """Run until SIGTERM or SIGINT, then make a planned stop.

        During the stop, SIGINT ends the process at once and SIGTERM, which a
        supervisor may repeat, has no effect. SIGHUP reloads the settings.
        """
        sys.setswitchinterval(SWITCH_INTERVAL_SECONDS)
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_interrupt)
        signal.signal(signal.SIGHUP, self._on_reload_signal)
        self.start()
        wait_with_signals(self._stop_requested, self._reload_if_changed)
        plan = self.new_stop_plan()
        threading.Thread(target=_exit_at, args=(plan.ends_at,), daemon=True).start()
        self.stop(plan)

    def _on_signal(self, number, frame):
        # Must not log: the interrupted code may hold the log's lock.
        if not self._signal_count:
            self._stop_requested_at = time.monotonic()
        self._signal_count += 1
        self._stop_requested.set()

    def _on_interrupt(self, number, frame):
        if self._stop_requested.is_set():
            os._exit(FORCED_EXIT_STATUS)
        self._on_signal(number, frame)

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
        """Start all parts, and a thread that retries until the node is ready."""
        node = self._node
        node.control_server.start()
        for server in node.servers_by_listener.values():
            server.start()
        node.heartbeats.start()
        node.replicator.start()
        node.gossiper.start()
        node.moves.start()
        node.orders.start()
        log_event("node-listening", **self.addresses())
        threading.Thread(target=self._become_ready, name="start", daemon=True).start()

    def addresses(self):
        """Return the addresses by listener name."""
        servers = self._node.servers_by_listener
        addresses = {name: server.address for name, server in servers.items()}
        return {**addresses, "control": self._node.control_server.address}

    def _become_ready(self):
        join_deadline = self._node.clock.monotonic() + JOIN_TIMEOUT_SECONDS
        while not self._stop_requested.is_set():
            may_serve = self._try_startup_sync()
            if may_serve:
                # Watchers publish their addresses in the store, where nodes that start
                # at the same time find each other.
                self._start_watchers()
            may_wait_for_peers = self._node.clock.monotonic() < join_deadline
            if may_serve and (self._has_peers() or not may_wait_for_peers):
                break
            self._stop_requested.wait(READY_POLL_SECONDS)
        # Objects built during start-up live as long as the node; frozen, they are not
        # traversed by later collections.
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

    def _try_startup_sync(self):
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
        if self._join_through(node.settings.membership.contacts):
            return True
        # The store comes last, which limits its load when all nodes start at once.
        return self._join_through(
            read_contacts(node.store, node.control_server.address)
        )

    def _join_through(self, addresses):
        address = self._contact_probe.find(addresses)
        return address is not None and self._node.gossiper.join([address])

    def new_stop_plan(self):
        """Return a StopPlan that begins at the first signal, or now without one."""
        requested_at = self._stop_requested_at or time.monotonic()
        return plan_stop(requested_at, self._node.settings.drain)

    def stop(self, plan=None):
        """Serve calls in progress until they end or the plan cuts them, then stop.

        ``plan`` is a StopPlan, by default a new one.
        """
        node = self._node
        plan = plan or self.new_stop_plan()
        node.lifecycle.begin_stop(plan)
        log_event(
            "node-draining",
            timeout_seconds=node.settings.drain.timeout_seconds,
            accept_seconds=node.settings.drain.accept_seconds,
            **self._calls_by_listener(),
        )
        roles = self._run_in_background(self._release_roles)
        node.servers_by_listener["callers"].close_after_answers()
        # The backend server outlives the node. As long as the node dispatches calls to
        # it, the service keeps the capacity of its slots.
        _sleep_until(plan.endpoint_leaves_at)
        node.heartbeats.stop()
        node.owner.stop()
        leave_flush = self._run_in_background(
            lambda: node.gossiper.flush(LEAVE_FLUSH_SECONDS)
        )
        self._drain_listeners(plan)
        log_event(
            "node-drained",
            seconds=round(time.monotonic() - plan.began, 3),
            has_timed_out=time.monotonic() >= plan.cut_calls_at,
            **self._calls_by_listener(),
        )
        # Leases that are not released in this time expire by themselves.
        wait_deadline = time.monotonic() + node.settings.store.timeout_seconds
        for task in (roles, leave_flush):
            task.join(
                max(0.0, min(wait_deadline, plan.cut_calls_at) - time.monotonic())
            )
        self._close(plan)
        node.lifecycle.advance(Phase.STOPPED)
        seconds = time.monotonic() - plan.began
        log_event("node-stopped", seconds=round(seconds, 3), signals=self._signal_count)

    def _run_in_background(self, work):
        """Run a step that waits for the store or for peers while callers are served.

        Returns the thread of the step.
        """
        thread = threading.Thread(target=work, name="stop", daemon=True)
        thread.start()
        return thread

    def _close(self, plan):
        node = self._node
        seconds_left = max(0.0, plan.ends_at - time.monotonic())
        node.gossiper.stop(min(GONE_FLUSH_SECONDS, seconds_left / 2))
        node.replicator.stop()
        for server in node.servers_by_listener.values():
            server.stop()
        node.claims.close()
        node.declarer.close()
        node.control_server.stop(CONTROL_GRACE_SECONDS)
        node.control_peers.close()
        node.store.close()

    def _calls_by_listener(self):
        """Return the number of calls in progress by listener name."""
        servers = self._node.servers_by_listener
        return {name: servers[name].active_count for name in DRAINED_LISTENERS}

    def _release_roles(self):
        for watcher in self._node.watchers:
            watcher.stop()
        self._node.moves.stop()
        self._node.orders.stop()

    def _drain_listeners(self, plan):
        """Wait until the calls in progress, also those still arriving, have ended."""
        callers = self._node.servers_by_listener["callers"]
        # Closing an idle connection can race with the caller's next request on it.
        # Callers first get time to see "Connection: close" in an answer.
        while callers.has_connections and time.monotonic() < plan.accept_all_until:
            time.sleep(DRAIN_POLL_SECONDS)
        self._serve_until_idle(plan)
        callers.drain()
        close_deadline = min(plan.cut_calls_at, time.monotonic() + DRAIN_QUIET_SECONDS)
        while not callers.is_closed and time.monotonic() < close_deadline:
            time.sleep(DRAIN_POLL_SECONDS)
        # A connection left open could deliver a request until the calls are cut.
        while not callers.is_closed and time.monotonic() < plan.cut_calls_at:
            callers.close_idle_connections()
            time.sleep(DRAIN_POLL_SECONDS)
        # Wait for calls that began meanwhile, such as those of the backend server.
        while not self._is_idle() and time.monotonic() < plan.cut_calls_at:
            time.sleep(DRAIN_POLL_SECONDS)

    def _is_idle(self):
        return not any(self._calls_by_listener().values())

    def _serve_until_idle(self, plan):
        """Keep listening, to answer or refuse callers that do not know of the stop."""
        servers = self._node.servers_by_listener
        callers = servers["callers"]
        quiet_since = time.monotonic()
        while time.monotonic() < plan.cut_calls_at:
            if time.monotonic() >= plan.accept_all_until:
                callers.close_idle_connections(plan.accept_all_until)
            # Entries that do not know of the stop yet still send calls. A quiet
            # period indicates that all of them know.
            if not all(servers[name].is_idle for name in INTERNAL_LISTENERS):
                quiet_since = time.monotonic()
            now = time.monotonic()
            is_quiet = now - quiet_since >= DRAIN_QUIET_SECONDS
            may_end = plan.may_end(now, self._node.lifecycle.last_call_at)
            if is_quiet and may_end and callers.is_idle:
                return
            time.sleep(DRAIN_POLL_SECONDS)


def _sleep_until(moment):
    time.sleep(max(0.0, moment - time.monotonic()))


def _exit_at(moment):
    """Exit the process at a monotonic time, even if the stop has not completed."""
    _sleep_until(moment)
    log_event("stop-overdue")
    flush_log(LOG_FLUSH_SECONDS)
    os._exit(FORCED_EXIT_STATUS)
