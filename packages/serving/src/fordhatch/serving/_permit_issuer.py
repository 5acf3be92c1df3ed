"""Gives out permits for requests to backend servers that have named a limit.

All nodes ask the same one for a server's permits, so that the sum over all nodes keeps
to the limit, however their callers are spread.
"""

from __future__ import annotations

import hashlib
import math
import random
from collections.abc import Collection

import attrs

USED_SHARE = 0.95
"""Share of a limit that is given out: requests of nodes that have not heard of it yet
come besides."""

LEAST_LIMIT_PER_S = 0.25
"""A server that takes less, or nothing, still gets so many requests a second: only an
answer can say that its limit is over."""

BURST_REQUESTS = 1.0
BURST_S = 0.25
"""A server that was not asked for a while gets so many requests at once at the most,
and what its limit allows for so long."""

RANK_SHARE = 1.0 / 3.0
"""What the next issuer in rank gives out of what the one before it does: where nodes
reach different ones, three together give out 1.45 times the limit at the most."""

MOST_RANK = 3
"""Ranks beyond count as this one."""

ASKERS_S = 4.0
"""Time over which questions count, the newest most: who has asked will ask again."""

ASKS_PER_PERMIT = 6.0
"""Questions that come for each permit, as long as more are wanted than there are."""


@attrs.frozen
class Permit:
    """The answer to a node that wants to send a request."""

    is_granted: bool
    again_s: float = 0.0
    """When it may ask again, if not."""


@attrs.define
class _Count:
    """A count that fades with time."""

    at_s: float
    value: float = 0.0

    def add(self, now_s: float) -> float:
        """Count one more; returns what there is then."""
        self.value = 1.0 + self.value * math.exp((self.at_s - now_s) / ASKERS_S)
        self.at_s = now_s
        return self.value


@attrs.define
class _Bucket:
    """The permits for one backend server."""

    at_s: float
    asks: _Count
    permits: float = 0.0
    """An issuer that has just begun has none: another one may have given them out."""
    asks_by_node: dict[str, _Count] = attrs.field(factory=dict)

    def refill(self, rate_per_s: float, now_s: float) -> None:
        """Add the permits that have grown since the last look."""
        most = BURST_REQUESTS + BURST_S * rate_per_s
        grown = self.permits + rate_per_s * max(now_s - self.at_s, 0.0)
        self.permits = min(grown, most)
        self.at_s = now_s

    def asked(self, asker: str, now_s: float) -> float:
        """Count a question; returns how many nodes like this one seem to ask."""
        own = self.asks_by_node.setdefault(asker, _Count(now_s)).add(now_s)
        return max(self.asks.add(now_s) / own, 1.0)


@attrs.define(eq=False, repr=False)
class PermitIssuer:
    """Token buckets by backend server."""

    node_name: str
    rng: random.Random
    _buckets: dict[str, _Bucket] = attrs.field(factory=dict)

    def give(
        self,
        backend_id: str,
        limit_per_s: float,
        asker: str,
        now_s: float,
        *,
        share: float = 1.0,
    ) -> Permit:
        """Return a permit, or when to ask again.

        Args:
            backend_id: The backend server that a request would go to.
            limit_per_s: Requests a second that it takes from all nodes.
            asker: The node that asks.
            now_s: Monotonic seconds.
            share: Part of the limit that this issuer may give out.
        """
        rate_per_s = max(USED_SHARE * limit_per_s, LEAST_LIMIT_PER_S) * share
        bucket = self._buckets.get(backend_id)
        if bucket is None:
            bucket = self._buckets[backend_id] = _Bucket(now_s, _Count(now_s))
        bucket.refill(rate_per_s, now_s)
        askers = bucket.asked(asker, now_s)
        if bucket.permits >= 1.0:
            bucket.permits -= 1.0
            return Permit(is_granted=True)
        wait_s = (1.0 - bucket.permits) / rate_per_s
        spread_s = 2.0 * (askers - 1.0) / (ASKS_PER_PERMIT * rate_per_s)
        return Permit(is_granted=False, again_s=wait_s + spread_s * self.rng.random())

    def keep_only(self, backend_ids: Collection[str]) -> None:
        """Forget backend servers that are gone."""
        for backend_id in self._buckets.keys() - backend_ids:
            del self._buckets[backend_id]


def issuers(backend_id: str, nodes: Collection[str], most: int) -> list[str]:
    """Return the nodes that issue a server's permits, the first in rank first.

    Every node finds the same ones, and a node that is lost changes the rank of no
    other two (rendezvous hashing).

    Args:
        backend_id: The backend server.
        nodes: Names of all nodes.
        most: How many are wanted.
    """

    def weight(node: str) -> bytes:
        return hashlib.blake2b(f"{backend_id}/{node}".encode(), digest_size=8).digest()

    return sorted(nodes, key=weight)[:most]


def rank_share(rank: int) -> float:
    """Return the part of a limit that the issuer of a rank may give out."""
    return RANK_SHARE ** min(rank, MOST_RANK)
