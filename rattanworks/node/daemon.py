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
from rattanworks.node.stopping import EXIT_SECONDS, plan_stop
from rattanworks.utils.backoff import FullJitterBackoff
from rattanworks.utils.logging import flush_log, log_event
from rattanworks.utils.signals import wait_with_signals

READY_POLL_SECONDS = 0.2
# A node that knows no endpoint but its own can serve few calls; alone in the mesh
# it serves all the same after this time.
JOIN_PATIENCE_SECONDS = 2.0
LEAVE_TELL_SECONDS = 1.0
# Neighbours know already that the node leaves; one that does not answer must not
# keep it from ending: half of the time for the exit.
GONE_TELL_SECONDS = EXIT_SECONDS / 2
JOIN_RETRY_BASE_SECONDS = 0.5
JOIN_RETRY_CAP_SECONDS = 4.0
CONTROL_GRACE_SECONDS = 0.5
DRAIN_QUIET_SECONDS = 0.3
DRAIN_POLL_SECONDS = 0.02
QUIET_LISTENERS = ("local", "peers")
DRAINED_LISTENERS = ("callers", *QUIET_LISTENERS)
EXIT_FORCED = 1
LAST_FLUSH_SECONDS = 0.05
SWITCH_INTERVAL_SECONDS = 0.0005


class Daemon:
    """Runs one node until a signal asks it to stop.

    ``settings_file``, a WatchedFile, says when the settings may have changed.
    """

    def __init__(self, settings, adapters=None, settings_file=None):
        self._node = build_node(settings, adapters)
        self._settings_file = settings_file
        self._stop_requested = threading.Event()
        self._signals = 0
        self._stop_asked_at = 0.0
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
        """Run until SIGTERM or SIGINT; SIGINT during the stop ends at once.

        A supervisor may repeat SIGTERM: the stop has begun already.
        SIGHUP has the settings read again.
        """
        sys.setswitchinterval(SWITCH_INTERVAL_SECONDS)
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_interrupt)
        signal.signal(signal.SIGHUP, self._on_reload_signal)
        self.start()
        wait_with_signals(self._stop_requested, self._reload_if_changed)
        plan = self.new_stop_plan()
        threading.Thread(target=_end_at, args=(plan.ends_at,), daemon=True).start()
        self.stop(plan)

    def _on_signal(self, number, frame):
        # No log line here: the interrupted code may hold the log's lock.
        if not self._signals:
            self._stop_asked_at = time.monotonic()
        self._signals += 1
        self._stop_requested.set()

    def _on_interrupt(self, number, frame):
        if self._stop_requested.is_set():
            os._exit(EXIT_FORCED)
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
        """Start all parts and keep trying until the node is ready."""
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

    def new_stop_plan(self):
        """Return the StopPlan, which counts from the signal if there was one."""
        asked_at = self._stop_asked_at or time.monotonic()
        return plan_stop(asked_at, self._node.settings.drain)

    def stop(self, plan=None):
        """Drain: serve calls at work until they end or the stop must, then stop.

        ``plan`` is the StopPlan, by default that of a stop asked for now.
        """
        node = self._node
        plan = plan or self.new_stop_plan()
        node.lifecycle.begin_stop(plan)
        log_event(
            "node-draining",
            timeout_seconds=node.settings.drain.timeout_seconds,
            accept_seconds=node.settings.drain.accept_seconds,
            **self._at_work(),
        )
        roles = self._beside(self._give_roles_up)
        # The backend server goes on without its node: each second in which the node
        # serves it is one in which the service has its slots.
        node.servers_by_listener["callers"].close_after_answers()
        _sleep_until(plan.endpoint_until)
        node.heartbeats.stop()
        node.owner.stop()
        news = self._beside(lambda: node.gossiper.flush(LEAVE_TELL_SECONDS))
        self._drain_listeners(plan)
        log_event(
            "node-drained",
            seconds=round(time.monotonic() - plan.began, 3),
            has_timed_out=time.monotonic() >= plan.calls_until,
            **self._at_work(),
        )
        # Leases that the store does not take back now lapse by themselves.
        patience = time.monotonic() + node.settings.store.timeout_seconds
        for task in (roles, news):
            task.join(max(0.0, min(patience, plan.calls_until) - time.monotonic()))
        self._close(plan)
        node.lifecycle.advance(Phase.STOPPED)
        seconds = time.monotonic() - plan.began
        log_event("node-stopped", seconds=round(seconds, 3), signals=self._signals)

    def _beside(self, work):
        """Do what a stop needs of others while callers are served."""
        thread = threading.Thread(target=work, name="stop", daemon=True)
        thread.start()
        return thread

    def _close(self, plan):
        node = self._node
        left = max(0.0, plan.ends_at - time.monotonic())
        node.gossiper.stop(min(GONE_TELL_SECONDS, left / 2))
        node.replicator.stop()
        for server in node.servers_by_listener.values():
            server.stop()
        node.claims.close()
        node.declarer.close()
        node.control_server.stop(CONTROL_GRACE_SECONDS)
        node.control_peers.close()
        node.store.close()

    def _at_work(self):
        """Return the number of calls at work by listener."""
        servers = self._node.servers_by_listener
        return {name: servers[name].active_count for name in DRAINED_LISTENERS}

    def _give_roles_up(self):
        for watcher in self._node.watchers:
            watcher.stop()
        self._node.moves.stop()
        self._node.orders.stop()

    def _drain_listeners(self, plan):
        """Wait until calls at work, bodies that arrive included, have ended."""
        callers = self._node.servers_by_listener["callers"]
        # An idle connection that is closed may cross its next request: callers
        # get time to learn from an answer that it is the connection's last.
        while callers.has_connections and time.monotonic() < plan.taking_until:
            time.sleep(DRAIN_POLL_SECONDS)
        self._serve_until_idle(plan)
        callers.drain()
        last_look = min(plan.calls_until, time.monotonic() + DRAIN_QUIET_SECONDS)
        while callers.has_connections and time.monotonic() < last_look:
            time.sleep(DRAIN_POLL_SECONDS)
        # A connection that stays open could bring a request until the very end.
        while callers.has_connections and time.monotonic() < plan.calls_until:
            callers.close_idle_connections()
            time.sleep(DRAIN_POLL_SECONDS)
        # What began meanwhile, such as a call of the backend server.
        while not self._is_idle() and time.monotonic() < plan.calls_until:
            time.sleep(DRAIN_POLL_SECONDS)

    def _is_idle(self):
        return not any(self._at_work().values())

    def _serve_until_idle(self, plan):
        """Keep listening: callers who do not know yet are answered or refused."""
        servers = self._node.servers_by_listener
        callers = servers["callers"]
        quiet_since = time.monotonic()
        while time.monotonic() < plan.calls_until:
            callers.close_idle_connections(plan.taking_until)
            # Entries that have not heard the news yet still send calls; a quiet
            # spell shows that all have.
            if not all(servers[name].is_idle for name in QUIET_LISTENERS):
                quiet_since = time.monotonic()
            is_quiet = time.monotonic() - quiet_since >= DRAIN_QUIET_SECONDS
            if is_quiet and callers.is_idle:
                return
            time.sleep(DRAIN_POLL_SECONDS)


def _sleep_until(moment):
    time.sleep(max(0.0, moment - time.monotonic()))


def _end_at(moment):
    """End the process at a monotonic time, whatever it still waits for."""
    _sleep_until(moment)
    log_event("stop-overdue")
    flush_log(LAST_FLUSH_SECONDS)
    os._exit(EXIT_FORCED)
