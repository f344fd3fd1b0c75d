"""Malformed data from a peer or the store raises only the project's own errors."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rattanworks.distribution.archive import decode_head
from rattanworks.distribution.configuration import Configuration
from rattanworks.distribution.validation import validate_version
from rattanworks.exceptions import RattanworksError
from rattanworks.model.control import REPLIES_BY_REQUEST
from rattanworks.model.version import Head, content_hash
from rattanworks.tests.builders import build_numbered_lists, build_version
from rattanworks.utils.codec import (
    DecodeError,
    decode_binary,
    decode_json,
    encode_binary,
    encode_json,
)

EXAMPLES = 150
DEPTH = 100_000

JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**63)
    | st.floats()
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["version", "blobs", "name", "hash", "plan", "uses", "id"]),
            inner,
            max_size=3,
        )
    ),
    max_leaves=8,
)


def truncate_or_change_byte(content, position, byte, is_truncated):
    position %= len(content)
    if is_truncated:
        return content[:position]
    return content[:position] + bytes([byte]) + content[position + 1 :]


def replace_blob(head, contents, hash, content):
    """Return the version with one blob replaced and every hash updated to match."""
    if hash == head.manifest_hash:
        return Head(head.version, content_hash(content)), {
            **contents,
            content_hash(content): content,
        }
    manifest = contents[head.manifest_hash].replace(
        hash.encode(), content_hash(content).encode()
    )
    changed = {content_hash(content): content, content_hash(manifest): manifest}
    return Head(head.version, content_hash(manifest)), {**contents, **changed}


class FuzzTests(unittest.TestCase):
    @settings(max_examples=EXAMPLES, deadline=None)
    @given(st.data())
    def test_a_changed_blob_with_a_matching_hash_is_refused_or_consistent(self, data):
        lists = build_numbered_lists(0, {"a": "gold", "b": "tin"})
        head, contents = build_version(1, lists)
        hash = data.draw(st.sampled_from(sorted(contents)))
        content = data.draw(
            st.builds(
                truncate_or_change_byte,
                st.just(contents[hash]),
                st.integers(0, 10_000),
                st.integers(0, 255),
                st.booleans(),
            )
            | JSON.map(encode_json)
        )
        configuration = Configuration(validate_version)
        try:
            configuration.put_in_force(*replace_blob(head, contents, hash, content))
        except RattanworksError:
            self.assertEqual(configuration.head.version, 0)
            return
        plans = configuration.snapshot.lists.plans_by_name
        customers = configuration.snapshot.lists.customers_by_id.values()
        self.assertTrue(all(customer.plan in plans for customer in customers))

    @settings(max_examples=EXAMPLES, deadline=None)
    @given(st.binary(max_size=64) | JSON.map(encode_json))
    def test_a_head_record_decodes_or_is_refused(self, content):
        try:
            self.assertIsInstance(decode_head(content), Head)
        except RattanworksError:
            return

    @settings(max_examples=EXAMPLES, deadline=None)
    @given(
        st.sampled_from([*REPLIES_BY_REQUEST, *REPLIES_BY_REQUEST.values()]),
        st.binary(max_size=64) | JSON.map(encode_binary),
    )
    def test_a_peers_message_decodes_or_is_refused(self, kind, content):
        try:
            self.assertIsInstance(decode_binary(content, kind), kind)
        except DecodeError:
            return

    def test_deep_nesting_is_refused(self):
        for opening, closing in ((b"[", b"]"), (b'{"x":', b"}")):
            content = b'{"x":' + opening * DEPTH + b"0" + closing * DEPTH + b"}"
            with self.subTest(opening=opening), self.assertRaises(DecodeError):
                decode_json(content, Head)
        with self.assertRaises(DecodeError):
            decode_binary(b"\x81\xa1x" * DEPTH + b"\x00", Head)
