"""Loss and delay of messages between nodes, enabled in the settings for tests."""

import time
from dataclasses import dataclass

import grpc

from rattanworks.exceptions import (
    CallNotSentError,
    CallOutcomeUnknownError,
    PeerUnavailableError,
)
from rattanworks.model.call import refusal
from rattanworks.ports.base import ControlPeers, PeerCalls
from rattanworks.utils.codec import DecodeError, decode_json
from rattanworks.utils.wsgi import Response, path_of, read_body, respond

FAULTS_PATH = "/fault-injection"
SENDER_KEY = "rattanworks-sender"


@dataclass(frozen=True, slots=True)
class LinkFault:
    """A fault on the links between this node and some peers.

    The peers are selected by failure domain or by address. ``loses_sent`` drops
    the requests and calls that this node sends them, ``loses_received`` the
    requests, calls and answers that they send it. Each outgoing request or call
    is delayed by ``delay_seconds``, at most by its timeout, before it is dropped
    or sent.
    """

    failure_domains: tuple[str, ...] = ()
    addresses: tuple[str, ...] = ()
    loses_sent: bool = False
    loses_received: bool = False
    delay_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class InjectedFaults:
    """All link faults in force; without any, every message is delivered."""

    links: tuple[LinkFault, ...] = ()


class FaultInjector:
    """Holds the faults in force and finds the one that applies to a peer."""

    def __init__(self, members):
        self._members = members
        self.faults = InjectedFaults()

    def fault_for(self, address, failure_domain=""):
        """Return the first LinkFault that applies to a peer, or None."""
        if not self.faults.links:
            return None
        domain = failure_domain or self._domain_of(address)
        for fault in self.faults.links:
            if address in fault.addresses or domain in fault.failure_domains:
                return fault
        return None

    def record_of(self, node):
        """Return a node's membership record or None."""
        return self._members.by_node.get(node)

    def _domain_of(self, address):
        for record in self._members.by_node.values():
            if address in (record.control_address, record.peers_address):
                return record.failure_domain
        return ""


def _delay(fault, timeout):
    if fault.delay_seconds:
        time.sleep(min(fault.delay_seconds, timeout))


class FaultyControlPeers(ControlPeers):
    """ControlPeers whose requests may be dropped or delayed, and replies dropped."""

    def __init__(self, peers, injector):
        self._peers = peers
        self._injector = injector

    def __getattr__(self, name):
        return getattr(self._peers, name)

    def request(self, address, message, timeout):
        """Send a typed message and return the typed reply."""
        fault = self._injector.fault_for(address)
        if fault is None:
            return self._peers.request(address, message, timeout)
        _delay(fault, timeout)
        if fault.loses_sent:
            raise _unavailable(address)
        reply = self._peers.request(address, message, timeout)
        if fault.loses_received:
            raise _unavailable(address)
        return reply

    def forget(self, address):
        """Close the connection to a peer."""
        self._peers.forget(address)


def _unavailable(address):
    return PeerUnavailableError(f"the link to {address} is cut; heal it or wait")


class FaultyPeerCalls(PeerCalls):
    """PeerCalls whose calls may be dropped or delayed, and answers dropped."""

    def __init__(self, peer_calls, injector, clock):
        self._peer_calls = peer_calls
        self._injector = injector
        self._clock = clock

    def __getattr__(self, name):
        return getattr(self._peer_calls, name)

    def dispatch(self, record, call):
        """Send the call to the node of ``record`` and return its Answer."""
        fault = self._injector.fault_for(record.peers_address, record.failure_domain)
        if fault is None:
            return self._peer_calls.dispatch(record, call)
        _delay(fault, max(0.0, call.deadline - self._clock.monotonic()))
        if fault.loses_sent:
            raise CallNotSentError(f"the link to {record.node} is cut; try another")
        answer = self._peer_calls.dispatch(record, call)
        if fault.loses_received:
            raise CallOutcomeUnknownError(
                f"the answer of {record.node} was lost; repeat only if idempotent"
            )
        return answer


class FaultyControlServer(grpc.ServerInterceptor):
    """Refuses control requests from senders whose messages are dropped."""

    def __init__(self, injector):
        self._injector = injector

    def intercept_service(self, continuation, handler_call_details):
        """Return the handler of a request, or one that refuses it."""
        senders = [
            value
            for key, value in handler_call_details.invocation_metadata
            if key == SENDER_KEY
        ]
        fault = self._injector.fault_for("", senders[0]) if senders else None
        if fault is None or not fault.loses_received:
            return continuation(handler_call_details)
        return grpc.unary_unary_rpc_method_handler(_refuse)


def _refuse(content, context):
    context.abort(grpc.StatusCode.UNAVAILABLE, "the link is cut")


class FaultyDispatch:
    """Refuses calls from entry nodes whose messages are dropped."""

    def __init__(self, dispatch, injector):
        self._dispatch = dispatch
        self._injector = injector

    def __call__(self, message, call):
        """Return the Answer to one CallMessage."""
        fault = self._fault_of(message.sender)
        if fault is not None and fault.loses_received:
            return refusal(503, "the link is cut")
        return self._dispatch(message, call)

    def _fault_of(self, sender):
        record = self._injector.record_of(sender)
        if record is None:
            return None
        return self._injector.fault_for(record.peers_address, record.failure_domain)


class FaultInjectionApp:
    """WSGI application that sets the injected faults on FAULTS_PATH.

    It passes other requests on to ``app``, that of the admin listener.
    """

    def __init__(self, app, injector):
        self._app = app
        self._injector = injector

    def __call__(self, environ, start_response):
        """Serve one request."""
        if path_of(environ) != FAULTS_PATH:
            return self._app(environ, start_response)
        return respond(start_response, self._set_faults(environ))

    def _set_faults(self, environ):
        if environ["REQUEST_METHOD"] != "POST":
            return Response(405, b"send the faults with POST\n")
        try:
            self._injector.faults = decode_json(read_body(environ), InjectedFaults)
        except DecodeError as error:
            return Response(400, f"{error}; send InjectedFaults\n".encode())
        return Response(204)
