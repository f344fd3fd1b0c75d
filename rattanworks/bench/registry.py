"""The benches of `rattanworks bench`."""

from rattanworks.bench.admission import AdmissionBench
from rattanworks.bench.capacity import CapacityBench
from rattanworks.bench.convergence import ConvergenceBench
from rattanworks.bench.detection import DetectionBench
from rattanworks.bench.ledger import LedgerBench
from rattanworks.bench.load.bench import LoadBench
from rattanworks.bench.members import MembersBench
from rattanworks.bench.moves import MovesBench
from rattanworks.bench.traffic import TrafficBench

BENCHES = (
    AdmissionBench(),
    CapacityBench(),
    ConvergenceBench(),
    DetectionBench(),
    LedgerBench(),
    LoadBench(),
    MembersBench(),
    MovesBench(),
    TrafficBench(),
)
