"""Which nodes are alive, and which of them are responsible for what."""

from __future__ import annotations

from ._membership import Membership
from ._rendezvous import choose_nodes, rendezvous_rank
from ._table import ALIVE, DEAD, LEAVING, SUSPECT, Entry, MembershipTable

__all__ = [
    "ALIVE",
    "DEAD",
    "LEAVING",
    "SUSPECT",
    "Entry",
    "Membership",
    "MembershipTable",
    "choose_nodes",
    "rendezvous_rank",
]
