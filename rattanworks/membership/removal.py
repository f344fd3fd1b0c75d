"""When a silent node may be removed: the rule, apart from how evidence is got."""

from collections.abc import Callable
from dataclasses import dataclass

from rattanworks.model.control import Reachability

AGREEMENT = 2


@dataclass(frozen=True, slots=True)
class SilenceCase:
    """All evidence on one silent node.

    ``mate_verdicts`` come from other nodes of its failure domain,
    ``other_verdicts`` from elsewhere. ``is_mate`` tells that this node is of the
    suspect's failure domain, ``has_mates`` that others of it are known,
    ``is_only_peer`` that no other node at all is known. ``is_held_long_enough``
    tells that the whole failure domain has been silent for the time set.
    """

    mate_verdicts: tuple[Reachability, ...]
    other_verdicts: tuple[Reachability, ...]
    is_mate: bool
    has_mates: bool
    is_only_peer: bool
    is_held_long_enough: bool
    reaches_majority: Callable[[], bool]


def may_remove(case):
    """Tell whether the evidence suffices to remove the node.

    Nobody may reach it, and two must agree. One of them is of its own failure
    domain; when that domain is silent as a whole, it may only be cut off, and
    is removed whole, after a time, by nodes that reach most failure domains.
    """
    verdicts = case.mate_verdicts + case.other_verdicts
    if Reachability.REACHABLE in verdicts:
        return False
    agreeing = 1 + verdicts.count(Reachability.SILENT)
    if agreeing < AGREEMENT:
        return case.is_only_peer and case.is_held_long_enough
    if case.is_mate or Reachability.SILENT in case.mate_verdicts:
        return True
    if not case.has_mates:
        return case.reaches_majority()
    return case.is_held_long_enough and case.reaches_majority()
