import socket
import unittest

from rattanworks.utils.sockets import is_closed_by_peer


class ClosedByPeerTests(unittest.TestCase):
    def setUp(self):
        self.local, self.peer = socket.socketpair()
        self.addCleanup(self.local.close)
        self.addCleanup(self.peer.close)

    def test_an_open_connection_is_not_closed_with_or_without_pending_bytes(self):
        self.assertFalse(is_closed_by_peer(self.local))
        self.peer.sendall(b"more")
        self.assertFalse(is_closed_by_peer(self.local))
        self.assertEqual(self.local.recv(10), b"more")

    def test_a_connection_closed_by_the_peer_is_closed(self):
        self.peer.close()
        self.assertTrue(is_closed_by_peer(self.local))

    def test_a_locally_closed_socket_counts_as_closed(self):
        self.local.close()
        self.assertTrue(is_closed_by_peer(self.local))


if __name__ == "__main__":
    unittest.main()
