import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rattanworks.utils.codec import DecodeError
from rattanworks.utils.compression import DICTIONARY_BYTES, HeadCodec

HEAD = b"node-1,node-2,catalogue,v1,/catalogue/%d,User-Agent,counter/1.9.3"


class HeadCodecTests(unittest.TestCase):
    def setUp(self):
        self.sender, self.receiver = HeadCodec(), HeadCodec()

    @given(st.lists(st.tuples(st.binary(max_size=300), st.binary(max_size=300))))
    @settings(max_examples=50, deadline=None)
    def test_unpacking_restores_heads_and_bodies(self, messages):
        sender, receiver = HeadCodec(), HeadCodec()
        for head, body in messages:
            self.assertEqual(receiver.unpack(sender.pack(head) + body), (head, body))

    def test_a_head_similar_to_the_previous_one_takes_less_than_a_third(self):
        first = self.sender.pack(HEAD % 1)
        self.assertLess(len(self.sender.pack(HEAD % 2)), len(first) / 3)

    def test_heads_longer_than_the_dictionary_are_restored(self):
        head = bytes(range(256)) * (DICTIONARY_BYTES // 64)
        for _ in range(2):
            self.assertEqual(self.receiver.unpack(self.sender.pack(head)), (head, b""))

    @given(st.binary(max_size=64))
    @settings(max_examples=200, deadline=None)
    def test_garbage_raises_no_other_error_than_decode_error(self, frame):
        try:
            HeadCodec().unpack(frame)
        except DecodeError:
            return

    def test_a_truncated_frame_raises_decode_error(self):
        packed = self.sender.pack(HEAD % 1)
        for end in range(len(packed)):
            with self.subTest(end=end), self.assertRaises(DecodeError):
                HeadCodec().unpack(packed[:end])


if __name__ == "__main__":
    unittest.main()
