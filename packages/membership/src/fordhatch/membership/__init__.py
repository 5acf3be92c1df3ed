"""Which nodes are alive, and which of them are responsible for what."""

from __future__ import annotations

from ._membership import Endpoint, Membership, OpenEndpoint, Receive
from ._rendezvous import choose_nodes, rendezvous_rank
from ._table import ALIVE, DEAD, LEAVING, SUSPECT, Entry, MembershipTable
from ._udp import open_udp_endpoint

__all__ = [
    "ALIVE",
    "DEAD",
    "LEAVING",
    "SUSPECT",
    "Endpoint",
    "Entry",
    "Membership",
    "MembershipTable",
    "OpenEndpoint",
    "Receive",
    "choose_nodes",
    "open_udp_endpoint",
    "rendezvous_rank",
]
