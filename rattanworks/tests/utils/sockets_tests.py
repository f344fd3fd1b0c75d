import socket
import unittest

from rattanworks.utils.sockets import is_closed_by_peer


class ClosedByPeerTests(unittest.TestCase):
    def setUp(self):
        self.ours, self.theirs = socket.socketpair()
        self.addCleanup(self.ours.close)
        self.addCleanup(self.theirs.close)

    def test_an_open_connection_is_not_closed_whether_bytes_wait_or_not(self):
        self.assertFalse(is_closed_by_peer(self.ours))
        self.theirs.sendall(b"more")
        self.assertFalse(is_closed_by_peer(self.ours))
        self.assertEqual(self.ours.recv(10), b"more")

    def test_a_closed_one_is(self):
        self.theirs.close()
        self.assertTrue(is_closed_by_peer(self.ours))

    def test_an_own_closed_socket_counts_as_closed(self):
        self.ours.close()
        self.assertTrue(is_closed_by_peer(self.ours))


if __name__ == "__main__":
    unittest.main()
