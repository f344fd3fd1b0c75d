import unittest

import grpc
from hypothesis import given, settings
from hypothesis import strategies as st

from rattanworks.adapters.grpc_control import (
    SERVICE,
    ControlTraffic,
    GrpcControlPeers,
    GrpcControlServer,
)
from rattanworks.exceptions import PeerUnavailableError
from rattanworks.model.control import (
    REPLIES_BY_REQUEST,
    Gossip,
    Heartbeat,
    SnapshotRequest,
)
from rattanworks.model.endpoint import MAX_COUNTER
from rattanworks.tests.builders import build_record
from rattanworks.tests.membership.mesh import Mesh
from rattanworks.utils.codec import DecodeError, decode_binary, encode_binary

TIMEOUT_SECONDS = 20.0
KINDS = st.sampled_from(list(REPLIES_BY_REQUEST))
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=9), inner, max_size=4)
    ),
    max_leaves=12,
)


class DecodingTests(unittest.TestCase):
    @given(KINDS, st.binary(max_size=200))
    def test_any_bytes_decode_or_raise_the_typed_error(self, kind, content):
        for target in (kind, REPLIES_BY_REQUEST[kind]):
            self.decode(content, target)

    @given(KINDS, VALUES, st.data())
    def test_any_values_decode_or_raise_the_typed_error(self, kind, value, data):
        fields = data.draw(
            st.dictionaries(
                st.sampled_from(sorted(kind.__dataclass_fields__) or ["none"]), VALUES
            )
        )
        self.decode(encode_binary(value), kind)
        self.decode(encode_binary(fields), kind)

    @given(st.data())
    def test_a_corrupted_message_never_breaks_the_tables(self, data):
        content = bytearray(encode_binary(Gossip("x", "y", records=(build_record(),))))
        position = data.draw(st.integers(0, len(content) - 1))
        content[position] = data.draw(st.integers(0, 255))
        message = self.decode(bytes(content), Gossip)
        if message is None:
            return
        mesh = Mesh(["a1", "b1"])
        mesh["a1"].receive(message)
        self.assertTrue(mesh["b1"].reconciler.reconcile(mesh["a1"].address))

    def test_a_counter_out_of_bounds_is_refused(self):
        for incarnation in (-1, MAX_COUNTER + 1):
            record = build_record(incarnation=incarnation)
            content = encode_binary(Gossip("x", "y", records=(record,)))
            self.assertIsNone(self.decode(content, Gossip))

    def decode(self, content, kind):
        try:
            return decode_binary(content, kind)
        except DecodeError:
            return None


class ServerTests(unittest.TestCase):
    def setUp(self):
        mesh = Mesh(["a1", "b1"])
        self.node = mesh["a1"]
        handlers = mesh.network.handlers_by_address[self.node.address]
        self.traffic = ControlTraffic()
        self.server = GrpcControlServer("127.0.0.1", 0, handlers, traffic=self.traffic)
        self.server.start()
        self.addCleanup(self.server.stop, 0)
        self.peers = GrpcControlPeers(REPLIES_BY_REQUEST)
        self.addCleanup(self.peers.close)
        self.channel = grpc.insecure_channel(self.server.address)
        self.addCleanup(self.channel.close)

    def heartbeat(self):
        message = Heartbeat("b1", 1, 0, 0)
        return self.peers.request(self.server.address, message, TIMEOUT_SECONDS)

    @settings(max_examples=60, deadline=None)
    @given(KINDS, st.binary(max_size=60))
    def test_the_server_answers_garbage_with_an_error_and_stays_up(self, kind, content):
        call = self.channel.unary_unary(f"/{SERVICE}/{kind.__name__}")
        try:
            call(content, timeout=TIMEOUT_SECONDS)
        except grpc.RpcError as error:
            self.assertIn(
                error.code(),
                (grpc.StatusCode.INVALID_ARGUMENT, grpc.StatusCode.UNIMPLEMENTED),
            )
        self.assertEqual(self.heartbeat().node, "a1")

    def test_an_unreadable_reply_is_a_typed_error(self):
        replies = {**REPLIES_BY_REQUEST, Heartbeat: SnapshotRequest}
        peers = GrpcControlPeers(replies)
        self.addCleanup(peers.close)
        with self.assertRaises(PeerUnavailableError):
            peers.request(
                self.server.address, Heartbeat("b1", 1, 0, 0), TIMEOUT_SECONDS
            )

    def test_a_closed_or_absent_peer_is_a_typed_error(self):
        self.heartbeat()
        self.server.stop(0)
        with self.assertRaises(PeerUnavailableError):
            self.heartbeat()

    def test_both_sides_count_the_same_bytes(self):
        self.heartbeat()
        counted = self.peers.traffic
        self.assertGreater(counted.sent_bytes, 0)
        self.assertEqual(counted.sent_bytes, self.traffic.received_bytes)
        self.assertEqual(counted.received_bytes, self.traffic.sent_bytes)

    def test_the_least_recently_used_channel_is_closed(self):
        peers = GrpcControlPeers(REPLIES_BY_REQUEST, max_channels=2)
        self.addCleanup(peers.close)
        message = Heartbeat("b1", 1, 0, 0)
        for absent in ("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"):
            with self.assertRaises(PeerUnavailableError):
                peers.request(absent, message, TIMEOUT_SECONDS)
            reply = peers.request(self.server.address, message, TIMEOUT_SECONDS)
            self.assertEqual(reply.node, "a1")
        self.assertEqual(peers.addresses, ("127.0.0.1:3", self.server.address))
