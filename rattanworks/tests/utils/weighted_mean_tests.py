import unittest

from rattanworks.utils.weighted_mean import WeightedMeans, updated_mean


class WeightedMeanTests(unittest.TestCase):
    def test_the_first_sample_is_the_mean_and_later_ones_are_weighted(self):
        self.assertEqual(updated_mean(None, 4.0, 0.1), 4.0)
        self.assertAlmostEqual(updated_mean(4.0, 5.0, 0.1), 4.1)

    def test_a_new_key_beyond_the_maximum_clears_the_others(self):
        means = WeightedMeans(0.5, max_keys=2)
        means.add("a", 1.0)
        means.add("b", 2.0)
        means.add("a", 3.0)
        self.assertEqual((means.get("a"), means.get("b")), (2.0, 2.0))
        means.add("c", 5.0)
        self.assertEqual((means.get("a"), means.get("c")), (None, 5.0))
        self.assertEqual(means.get("d", 0.0), 0.0)
