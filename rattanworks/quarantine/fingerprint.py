"""Fingerprints by which calls with the same content are recognized."""

import hashlib

FINGERPRINT_BYTES = 16


def fingerprint_of(customer, method, host, target, body):
    """Return a hash of a call's content in hexadecimal digits.

    Headers are left out: they hold ids and times, which differ each time that a caller
    sends the same call. ``body`` is bytes or a memoryview.
    """
    content = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for text in (customer, method, host, target):
        encoded = text.encode()
        content.update(len(encoded).to_bytes(4, "big"))
        content.update(encoded)
    content.update(body)
    return content.hexdigest()
