"""Long request bodies to a backend server that reads them late."""

import socket
import threading
import time
import unittest

from rattanworks.adapters.system_clock import SystemClock
from rattanworks.platform.backend import PlatformBackendServer
from rattanworks.tests.builders import build_call
from rattanworks.tests.servers import raw_answer
from rattanworks.utils.sockets import DEFAULT_LIVENESS

# More than the kernel buffers for a receiver that does not read.
LONG_BODY = bytes(16 * 1024 * 1024)
DEADLINE_SECONDS = 30.0


class BackendServerTests(unittest.TestCase):
    def test_a_server_that_pauses_before_it_reads_a_body_is_not_cut(self):
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        threading.Thread(target=self.serve, args=(listener,), daemon=True).start()
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        backend = PlatformBackendServer(address, 2, "i-1", SystemClock())
        self.addCleanup(backend.close)
        deadline = time.monotonic() + DEADLINE_SECONDS
        call = build_call(
            request_id="r-slow", method="POST", body=LONG_BODY, deadline=deadline
        )
        self.assertEqual(backend.run(call).status, 200)

    def serve(self, listener):
        sock, _ = listener.accept()
        with sock:
            received = sock.recv(1024)
            time.sleep(2 * DEFAULT_LIVENESS.acknowledged_seconds)
            remaining = len(LONG_BODY) - len(received.partition(b"\r\n\r\n")[2])
            while remaining and (piece := sock.recv(65536)):
                remaining -= len(piece)
            signed = "X-Server-Signature: 1\r\nContent-Length: 2\r\n"
            sock.sendall(raw_answer(request_id="r-slow", framing=signed))


if __name__ == "__main__":
    unittest.main()
