"""The base class of all benches, and their report."""

import abc
from dataclasses import dataclass, field

from rattanworks.exceptions import UsageError


@dataclass(frozen=True, slots=True)
class Report:
    """The result of one run; ``figures`` is printed as a JSON object.

    ``series`` has the lines to plot by legend, each a list of (x, y) pairs, and
    ``series_labels`` the labels of the two axes.
    """

    name: str
    seed: int
    figures: dict
    series: dict = field(default_factory=dict)
    series_labels: tuple[str, str] = ("seconds", "value")


class Bench(abc.ABC):
    """A measurement that `rattanworks bench` can run.

    ``faults`` has the names of the faults that it can inject.
    """

    name = ""
    help = ""
    faults = ()

    @abc.abstractmethod
    def add_arguments(self, parser):
        """Declare the options of this bench."""

    @abc.abstractmethod
    def run(self, arguments):
        """Run the measurement and return its Report."""

    def parse_faults(self, text):
        """Return the faults named in a comma-separated list, or raise UsageError."""
        names = tuple(name for name in (text or "").split(",") if name)
        unknown = sorted(set(names) - set(self.faults))
        if unknown:
            known = ", ".join(self.faults)
            raise UsageError(f"unknown fault {', '.join(unknown)}; known: {known}")
        return names
