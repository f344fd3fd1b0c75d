"""Response times of endpoints, relative to their service."""

from rattanworks.utils.weighted_mean import WeightedMeans

SAMPLE_WEIGHT = 0.1
# Bounds, so that one slow answer does not take an endpoint out of use and a quick
# error answer does not draw all calls to it.
MIN_FACTOR = 0.5
MAX_FACTOR = 3.0
MAX_KEYS = 8192


class ResponseTimes:
    """Weighted means of response times in seconds, by endpoint and by service."""

    def __init__(self):
        self._by_node = WeightedMeans(SAMPLE_WEIGHT, MAX_KEYS)
        self._by_service = WeightedMeans(SAMPLE_WEIGHT, MAX_KEYS)

    def record(self, node, service, seconds):
        """Record the time that one answer took."""
        self._by_node.add(node, seconds)
        self._by_service.add(service, seconds)

    def factor(self, node, service):
        """Return the endpoint's response time as a multiple of the service's mean.

        It is bounded by MIN_FACTOR and MAX_FACTOR, and 1 when a mean is unknown.

        Load pattern: endpoints of one service differ in speed, or one becomes slow
        while it reports free slots. The same number of calls then means a longer
        wait, so that a choice by load alone would send too many calls there.
        """
        mean = self._by_node.get(node)
        service_mean = self._by_service.get(service)
        if not mean or not service_mean:
            return 1.0
        return min(MAX_FACTOR, max(MIN_FACTOR, mean / service_mean))
