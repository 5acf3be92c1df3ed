"""How much of a cold backend server's limit each node may issue as permits.

The bound for any one second holds whatever nodes and links are lost: all buckets of the
system together never hold or refill more than it. Design note 0014 has the arithmetic.
"""

from __future__ import annotations

import attrs

from ._permit_issuer import MIN_LIMIT_PER_S, USED_FRACTION, rank_fraction

ISSUER_RANKS = 3
"""Nodes that may issue permits for one backend server at the same time."""

FIRST_BUCKET_PERMITS = 2.0
"""Capacity of the first issuer's bucket. With one permit it issues less than its rate,
because the bucket is full and refill is lost while no node asks."""

BUCKET_PERMITS = 1.0
"""Capacity of every other bucket: less would never issue, more uses up the slack."""

_ISSUER_PERMITS = FIRST_BUCKET_PERMITS + BUCKET_PERMITS * (ISSUER_RANKS - 1)

OWN_FRACTION = 0.1
"""Rate of all nodes without an issuer together, relative to the first issuer's."""

ARRIVAL_SPREAD_S = 0.15
"""By how much the delays between permits and the arrivals of their requests may differ:
permits of more than one second then arrive within one second."""

MIN_USED_FRACTION = 0.05
"""Part of the limit that is issued even where the bounds leave no room for it."""


@attrs.frozen
class ColdBudget:
    """Divides what a cold backend server may receive in one second among the nodes."""

    overrun: float = 1.5
    slack: float = 5.0
    """In any one second at most ``overrun`` times the limit plus ``slack`` requests may
    arrive."""

    @property
    def own_nodes(self) -> int:
        """Number of nodes that may send without an issuer, by rank after the issuers.

        Each has a bucket, which takes one request of the slack.
        """
        return max(int(self.slack - _ISSUER_PERMITS), 0)

    def bucket_permits(self, rank: int) -> float:
        """Return the capacity of the bucket of the node of a rank."""
        return FIRST_BUCKET_PERMITS if rank == 0 else BUCKET_PERMITS

    def rate_per_s(self, limit_per_s: float, rank: int) -> float:
        """Return the rate at which the node of a rank may issue permits.

        Args:
            limit_per_s: Requests a second that the backend server tolerates.
            rank: The node's rank among all nodes. Issuers issue for all nodes; the
                others only for themselves, and only if they reach no issuer.
        """
        limit_per_s = max(limit_per_s, MIN_LIMIT_PER_S)
        first_per_s = self._used_fraction(limit_per_s) * limit_per_s
        if rank < ISSUER_RANKS:
            return rank_fraction(rank) * first_per_s
        if rank < ISSUER_RANKS + self.own_nodes:
            return OWN_FRACTION * first_per_s / self.own_nodes
        return 0.0

    def _used_fraction(self, limit_per_s: float) -> float:
        """Return the fraction of the limit that the first issuer may issue."""
        buckets = _ISSUER_PERMITS + BUCKET_PERMITS * self.own_nodes
        refill = self.overrun * limit_per_s + self.slack - buckets
        issuers = sum(rank_fraction(rank) for rank in range(ISSUER_RANKS))
        own = OWN_FRACTION if self.own_nodes else 0.0
        spread = 1.0 + ARRIVAL_SPREAD_S
        used = refill / ((issuers + own) * spread * limit_per_s)
        return min(max(used, MIN_USED_FRACTION), USED_FRACTION)
