"""Control requests between nodes over gRPC with generic handlers."""

import threading
from collections import OrderedDict
from concurrent.futures import ThreadPoolExecutor

import grpc

from rattanworks.exceptions import PeerUnavailableError
from rattanworks.ports.base import ControlPeers
from rattanworks.utils.codec import DecodeError, decode_binary, encode_binary

SERVICE = "rattanworks.Control"
SERVER_THREADS = 8
MAX_CHANNELS = 48
MAX_MESSAGE_BYTES = 4 * 1024 * 1024

HTTP2_REQUEST_BYTES = 58
HTTP2_REPLY_BYTES = 64
SEGMENT_HEADER_BYTES = 52

# The requester also acknowledges the reply in a TCP segment without data.
REQUEST_OVERHEAD_BYTES = HTTP2_REQUEST_BYTES + 2 * SEGMENT_HEADER_BYTES
REPLY_OVERHEAD_BYTES = HTTP2_REPLY_BYTES + SEGMENT_HEADER_BYTES

OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.enable_http_proxy", 0),
    ("grpc.so_reuseport", 0),
    ("grpc.http2.bdp_probe", 0),
)


class ControlTraffic:
    """Counts the bytes of control messages that a node sends and receives.

    Beside the encoded messages it counts the estimated framing of each exchange:
    see docs/developer-guide/decisions/control-transport.md.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self.sent_bytes = 0
        self.received_bytes = 0

    def count_request(self, request_length, reply_length):
        """Count an exchange that this node started."""
        with self._lock:
            self.sent_bytes += request_length + REQUEST_OVERHEAD_BYTES
            self.received_bytes += reply_length + REPLY_OVERHEAD_BYTES

    def count_served(self, request_length, reply_length):
        """Count an exchange that a peer started."""
        with self._lock:
            self.received_bytes += request_length + REQUEST_OVERHEAD_BYTES
            self.sent_bytes += reply_length + REPLY_OVERHEAD_BYTES


class GrpcControlPeers(ControlPeers):
    """Sends control messages over one persistent channel to each peer.

    ``replies_by_request`` maps each request type to its reply type;
    ``metadata`` is sent with each request as (key, value) pairs. At most
    ``max_channels`` stay open; beyond that the least recently used is closed.
    """

    def __init__(
        self,
        replies_by_request,
        metadata=(),
        traffic=None,
        max_channels=MAX_CHANNELS,
    ):
        self._replies_by_request = replies_by_request
        self._metadata = metadata or None
        self._max_channels = max_channels
        self._channels_by_address = OrderedDict()
        self._methods_by_target = {}
        self._lock = threading.Lock()
        self.traffic = traffic or ControlTraffic()

    @property
    def addresses(self):
        """Return the addresses with an open channel, least recently used first."""
        with self._lock:
            return tuple(self._channels_by_address)

    @property
    def sent_bytes(self):
        """Return the bytes of control messages sent since start."""
        return self.traffic.sent_bytes

    @property
    def received_bytes(self):
        """Return the bytes of control messages received since start."""
        return self.traffic.received_bytes

    def request(self, address, message, timeout):
        """Send a typed message and return the typed reply."""
        kind = type(message)
        content = encode_binary(message)
        try:
            method = self._method(address, kind)
            reply = method(content, timeout=timeout, metadata=self._metadata)
            self.traffic.count_request(len(content), len(reply))
            return decode_binary(reply, self._replies_by_request[kind])
        except grpc.RpcError as error:
            self.traffic.count_request(len(content), 0)
            if error.code() == grpc.StatusCode.DEADLINE_EXCEEDED:
                # The connection may be dead: the next request opens another one.
                self.forget(address)
            raise PeerUnavailableError(
                f"peer {address} did not answer {kind.__name__}: "
                f"{error.code().name}; another peer may"
            ) from error
        except DecodeError as error:
            raise PeerUnavailableError(
                f"peer {address} sent an unreadable reply: {error}; ask another peer"
            ) from error
        except ValueError as error:
            # gRPC raises ValueError when another thread has closed the channel.
            raise PeerUnavailableError(
                f"the connection to {address} was closed by another thread; ask again"
            ) from error

    def _method(self, address, kind):
        with self._lock:
            method = self._methods_by_target.get((address, kind))
            if method is None:
                method = self._channel(address).unary_unary(
                    f"/{SERVICE}/{kind.__name__}"
                )
                self._methods_by_target[address, kind] = method
            self._channels_by_address.move_to_end(address)
            is_full = len(self._channels_by_address) > self._max_channels
            least_recent = next(iter(self._channels_by_address)) if is_full else None
        if least_recent is not None:
            self.forget(least_recent)
        return method

    def _channel(self, address):
        channel = self._channels_by_address.get(address)
        if channel is None:
            channel = grpc.insecure_channel(address, options=OPTIONS)
            self._channels_by_address[address] = channel
        return channel

    def forget(self, address):
        """Close the channel to a peer; a later request opens another one."""
        with self._lock:
            channel = self._channels_by_address.pop(address, None)
            for target in [key for key in self._methods_by_target if key[0] == address]:
                del self._methods_by_target[target]
        if channel is not None:
            channel.close()

    def close(self):
        """Close every channel."""
        for address in list(self._channels_by_address):
            self.forget(address)


class GrpcControlServer:
    """Serves control messages; handlers are looked up by message type.

    ``uncounted`` are the types that operators send, not other nodes: their bytes
    are not added to ``traffic``.
    """

    def __init__(
        self,
        host,
        port,
        handlers_by_request,
        interceptors=(),
        traffic=None,
        uncounted=(),
    ):
        traffic = traffic or ControlTraffic()
        self._server = grpc.server(
            ThreadPoolExecutor(SERVER_THREADS, thread_name_prefix="control"),
            interceptors=interceptors,
            options=OPTIONS,
        )
        methods = {
            kind.__name__: grpc.unary_unary_rpc_method_handler(
                _serve(kind, handler, None if kind in uncounted else traffic)
            )
            for kind, handler in handlers_by_request.items()
        }
        self._server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(SERVICE, methods),)
        )
        bound = self._server.add_insecure_port(f"{host}:{port}")
        self.address = f"{host}:{bound}"

    def start(self):
        """Start to accept requests."""
        self._server.start()

    def stop(self, grace):
        """Refuse new requests and wait up to ``grace`` seconds for running ones."""
        self._server.stop(grace).wait()


def _serve(kind, handler, traffic):
    def serve(content, context):
        try:
            message = decode_binary(content, kind)
        except DecodeError as error:
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        reply = encode_binary(handler(message))
        if traffic:
            traffic.count_served(len(content), len(reply))
        return reply

    return serve
