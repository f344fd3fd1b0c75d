"""`bench admission`: queueing compared with refusal, and rate limits of plans."""

from rattanworks.bench.admission_limits import compare_limits
from rattanworks.bench.admission_queue import (
    QueueSize,
    compare_beyond_plan,
    compare_queues,
)
from rattanworks.bench.base import Bench, Report


class AdmissionBench(Bench):
    """Measures the queue for slots in real time and plan limits in virtual time."""

    name = "admission"
    help = "queue against refusal at once, plan limits under skew and churn"

    def add_arguments(self, parser):
        """Declare the length of each real-time run and the number of slots."""
        parser.add_argument("--seconds", type=float, default=2.0)
        parser.add_argument("--slots", type=int, default=6)

    def run(self, arguments):
        """Run every comparison."""
        seed = arguments.seed
        size = QueueSize(arguments.slots, arguments.seconds)
        figures = {
            "slots": size.slots,
            **compare_queues(seed, size),
            **compare_beyond_plan(seed, size),
            **compare_limits(seed),
        }
        return Report(self.name, seed, figures)
