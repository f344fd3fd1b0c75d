"""The rule that decides whether a silent node may be removed.

The evidence is gathered elsewhere, by the failure detector.
"""

from collections.abc import Callable
from dataclasses import dataclass

from rattanworks.model.control import Reachability

MIN_AGREEING_NODES = 2


@dataclass(frozen=True, slots=True)
class SilenceEvidence:
    """The evidence on one suspect, a node that is silent to this node.

    ``domain_replies`` come from nodes of the suspect's failure domain,
    ``other_replies`` from nodes of other domains; nodes that did not reply are
    left out. ``is_domain_peer`` is true when this node itself is in the suspect's
    failure domain, ``has_domain_peers`` when nodes of that domain other than the
    suspect and this node are known, ``is_only_peer`` when no node is known but
    the suspect and this one. ``has_hold_elapsed`` is true when the suspect's whole
    failure domain has been silent for ``domain_hold_seconds``.
    ``reaches_majority`` returns whether this node reaches more than half of the
    failure domains; it may have to probe nodes to find out.
    """

    domain_replies: tuple[Reachability, ...]
    other_replies: tuple[Reachability, ...]
    is_domain_peer: bool
    has_domain_peers: bool
    is_only_peer: bool
    has_hold_elapsed: bool
    reaches_majority: Callable[[], bool]


def may_remove(evidence):
    """Return whether the evidence suffices to remove the suspect.

    No node may reach it, and two nodes must agree that it is silent, one of them
    in its own failure domain. If no other node of that domain is known, two nodes
    of other domains suffice, provided that this node reaches more than half of
    the domains. A domain that is silent as a whole may only be cut off from the
    others: its nodes are removed after the hold time, under the same proviso.
    If only the suspect and this node are known, this node removes the suspect
    alone after the hold time.
    """
    replies = evidence.domain_replies + evidence.other_replies
    if Reachability.REACHABLE in replies:
        return False
    agreeing = 1 + replies.count(Reachability.SILENT)
    if agreeing < MIN_AGREEING_NODES:
        return evidence.is_only_peer and evidence.has_hold_elapsed
    if evidence.is_domain_peer or Reachability.SILENT in evidence.domain_replies:
        return True
    if not evidence.has_domain_peers:
        return evidence.reaches_majority()
    return evidence.has_hold_elapsed and evidence.reaches_majority()
