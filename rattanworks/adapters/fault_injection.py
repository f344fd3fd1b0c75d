"""Message loss and delay between nodes, switched on by settings for tests."""

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
    """What happens to messages between this node and some others.

    The others are named by failure domain or by address. ``loses_sent``
    loses what this node sends them, ``loses_received`` what they send it:
    their requests and their replies alike. Each message is held for
    ``delay_seconds``, at most its timeout, before it is lost or goes on.
    """

    failure_domains: tuple[str, ...] = ()
    addresses: tuple[str, ...] = ()
    loses_sent: bool = False
    loses_received: bool = False
    delay_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class InjectedFaults:
    """All link faults in force; an empty one heals every link."""

    links: tuple[LinkFault, ...] = ()


class FaultInjector:
    """Holds the faults in force and applies them to one message at a time."""

    def __init__(self, members):
        self._members = members
        self.faults = InjectedFaults()

    def fault_between(self, address, failure_domain=""):
        """Return the LinkFault to an address, or None."""
        if not self.faults.links:
            return None
        domain = failure_domain or self._domain_of(address)
        for link in self.faults.links:
            if address in link.addresses or domain in link.failure_domains:
                return link
        return None

    def record_of(self, node):
        """Return a node's membership record or None."""
        return self._members.by_node.get(node)

    def _domain_of(self, address):
        for record in self._members.by_node.values():
            if address in (record.control_address, record.peers_address):
                return record.failure_domain
        return ""


def _hold(link, timeout):
    if link.delay_seconds:
        time.sleep(min(link.delay_seconds, timeout))


class FaultyControlPeers(ControlPeers):
    """ControlPeers whose requests and replies may be lost or late."""

    def __init__(self, peers, injector):
        self._peers = peers
        self._injector = injector

    def __getattr__(self, name):
        return getattr(self._peers, name)

    def request(self, address, message, timeout):
        """Send a typed message and return the typed reply."""
        link = self._injector.fault_between(address)
        if link is None:
            return self._peers.request(address, message, timeout)
        _hold(link, timeout)
        if link.loses_sent:
            raise _unavailable(address)
        reply = self._peers.request(address, message, timeout)
        if link.loses_received:
            raise _unavailable(address)
        return reply

    def forget(self, address):
        """Close the connection to a peer that is no longer a neighbour."""
        self._peers.forget(address)


def _unavailable(address):
    return PeerUnavailableError(f"the link to {address} is cut; heal it or wait")


class FaultyPeerCalls(PeerCalls):
    """PeerCalls whose calls and answers may be lost or late."""

    def __init__(self, peer_calls, injector, clock):
        self._peer_calls = peer_calls
        self._injector = injector
        self._clock = clock

    def __getattr__(self, name):
        return getattr(self._peer_calls, name)

    def dispatch(self, record, call):
        """Send the call to the node of ``record`` and return its Answer."""
        link = self._injector.fault_between(record.peers_address, record.failure_domain)
        if link is None:
            return self._peer_calls.dispatch(record, call)
        _hold(link, max(0.0, call.deadline - self._clock.monotonic()))
        if link.loses_sent:
            raise CallNotSentError(f"the link to {record.node} is cut; try another")
        answer = self._peer_calls.dispatch(record, call)
        if link.loses_received:
            raise CallOutcomeUnknownError(
                f"the answer of {record.node} was lost; repeat only if idempotent"
            )
        return answer


class FaultyControlServer(grpc.ServerInterceptor):
    """Refuses control requests whose sender is cut off from this node."""

    def __init__(self, injector):
        self._injector = injector

    def intercept_service(self, continuation, handler_call_details):
        """Return the handler of a request, or one that refuses it."""
        senders = [
            value
            for key, value in handler_call_details.invocation_metadata
            if key == SENDER_KEY
        ]
        link = self._injector.fault_between("", senders[0]) if senders else None
        if link is None or not link.loses_received:
            return continuation(handler_call_details)
        return grpc.unary_unary_rpc_method_handler(_refuse)


def _refuse(content, context):
    context.abort(grpc.StatusCode.UNAVAILABLE, "the link is cut")


class FaultyDispatch:
    """Refuses calls of entry nodes that are cut off from this node."""

    def __init__(self, dispatch, injector):
        self._dispatch = dispatch
        self._injector = injector

    def __call__(self, message, call):
        """Return the Answer to one CallMessage."""
        link = self._link_of(message.sender)
        if link is not None and link.loses_received:
            return refusal(503, "the link is cut")
        return self._dispatch(message, call)

    def _link_of(self, sender):
        record = self._injector.record_of(sender)
        if record is None:
            return None
        return self._injector.fault_between(record.peers_address, record.failure_domain)


class FaultInjectionApp:
    """Adds the fault switch to the application of the admin listener."""

    def __init__(self, app, injector):
        self._app = app
        self._injector = injector

    def __call__(self, environ, start_response):
        """Serve one request."""
        if path_of(environ) != FAULTS_PATH:
            return self._app(environ, start_response)
        return respond(start_response, self._switch(environ))

    def _switch(self, environ):
        if environ["REQUEST_METHOD"] != "POST":
            return Response(405, b"send the faults with POST\n")
        try:
            self._injector.faults = decode_json(read_body(environ), InjectedFaults)
        except DecodeError as error:
            return Response(400, f"{error}; send InjectedFaults\n".encode())
        return Response(204)
