"""Announcements of the local backend server."""

import io
import json
import unittest

from rattanworks.adapters.http_local import ANNOUNCE_PATH, LocalApp

ANNOUNCEMENT = {
    "service": "catalogue",
    "version": "v1",
    "address": "127.0.0.1:3",
    "slots": 2,
    "connections": 100,
}


class LocalAppTests(unittest.TestCase):
    def announce(self, **changes):
        content = json.dumps({**ANNOUNCEMENT, **changes}).encode()
        statuses = []
        environ = {
            "PATH_INFO": ANNOUNCE_PATH,
            "CONTENT_LENGTH": str(len(content)),
            "wsgi.input": io.BytesIO(content),
        }
        self.announced = []
        app = LocalApp(None, self.announced.append, None)
        app(environ, lambda status, headers: statuses.append(int(status[:3])))
        return statuses[0]

    def test_an_announcement_is_taken(self):
        self.assertEqual(self.announce(), 204)
        self.assertEqual(self.announced[0].slots, 2)

    def test_values_that_cannot_be_used_are_refused(self):
        for changes in (
            {"slots": 0},
            {"slots": 10**40},
            {"connections": 0},
            {"connections": 2**62},
            {"version": "v" * 1000},
            {"address": "127.0.0.1:99999"},
            {"address": "127.0.0.1"},
            {"heartbeat_seconds": -1.0},
            {"heartbeat_seconds": 1e300},
            {"started_at": 10**40},
        ):
            with self.subTest(changes):
                self.assertEqual(self.announce(**changes), 400)
                self.assertEqual(self.announced, [])
