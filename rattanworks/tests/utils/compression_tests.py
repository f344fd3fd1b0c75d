import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rattanworks.utils.codec import DecodeError
from rattanworks.utils.compression import DICTIONARY_BYTES, SharedHeads

HEAD = b"node-1,node-2,catalogue,v1,/catalogue/%d,User-Agent,counter/1.9.3"


class SharedHeadsTests(unittest.TestCase):
    def setUp(self):
        self.ours, self.theirs = SharedHeads(), SharedHeads()

    @given(st.lists(st.tuples(st.binary(max_size=300), st.binary(max_size=300))))
    @settings(max_examples=50, deadline=None)
    def test_heads_and_bodies_come_out_as_they_went_in(self, messages):
        ours, theirs = SharedHeads(), SharedHeads()
        for head, body in messages:
            self.assertEqual(theirs.unpack(ours.pack(head) + body), (head, body))

    def test_a_head_like_the_one_before_takes_a_part_of_its_size(self):
        first = self.ours.pack(HEAD % 1)
        self.assertLess(len(self.ours.pack(HEAD % 2)), len(first) / 3)

    def test_heads_longer_than_the_dictionary_pass(self):
        head = bytes(range(256)) * (DICTIONARY_BYTES // 64)
        for _ in range(2):
            self.assertEqual(self.theirs.unpack(self.ours.pack(head)), (head, b""))

    @given(st.binary(max_size=64))
    @settings(max_examples=200, deadline=None)
    def test_garbage_is_told_as_such_or_read(self, frame):
        try:
            SharedHeads().unpack(frame)
        except DecodeError:
            return

    def test_a_cut_frame_is_told(self):
        packed = self.ours.pack(HEAD % 1)
        for end in range(len(packed)):
            with self.subTest(end=end), self.assertRaises(DecodeError):
                SharedHeads().unpack(packed[:end])


if __name__ == "__main__":
    unittest.main()
