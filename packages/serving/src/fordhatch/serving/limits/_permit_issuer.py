"""Issues permits for requests to backend servers that have declared a rate limit.

All nodes request the permits for a backend server from the same node, the issuer. This
keeps the sum over all nodes within the limit, however the callers are distributed.
"""

from __future__ import annotations

import hashlib
import math
import random
from collections.abc import Collection

import attrs

USED_FRACTION = 0.95
"""Fraction of a limit that is issued as permits; nodes that do not know of the limit
yet send requests in addition."""

MIN_LIMIT_PER_S = 0.25
"""Requests a second that a backend server gets even if it accepts fewer or none. Only
an answer can report that its limit has been lifted."""

BURST_REQUESTS = 1.0
BURST_S = 0.25
"""After an idle period a backend server gets at most this many requests at once
(`BURST_REQUESTS`), plus what its limit allows for this time (`BURST_S`, in seconds)."""

RANK_FRACTION = 1.0 / 3.0
"""Fraction of the limit that an issuer may issue, relative to the issuer one rank
before it. If nodes reach different issuers, three of them together issue at most 1.45
times the limit."""

MAX_RANK = 3
"""Higher ranks count as this one."""

REQUEST_DECAY_S = 4.0
"""Time constant of the decay of permit requests, in seconds; a node that requested a
permit recently is expected to do so again."""

REQUESTS_PER_PERMIT = 6.0
"""Target number of permit requests for each permit while demand exceeds the limit."""


@attrs.frozen
class Permit:
    """Answer to a node that requests a permit."""

    is_granted: bool
    again_s: float = 0.0
    """Time until the node may ask again if no permit was granted, in seconds."""


@attrs.define
class _Count:
    """A count that decays exponentially with time."""

    at_s: float
    value: float = 0.0

    def add(self, now_s: float) -> float:
        """Add one and return the decayed count."""
        self.value = 1.0 + self.value * math.exp((self.at_s - now_s) / REQUEST_DECAY_S)
        self.at_s = now_s
        return self.value


@attrs.define
class _Bucket:
    """Token bucket of one backend server."""

    at_s: float
    requests: _Count
    permits: float = 0.0
    """Available permits. A new issuer starts with none, as another issuer may have
    issued them already."""
    requests_by_node: dict[str, _Count] = attrs.field(factory=dict)

    def refill(self, rate_per_s: float, capacity: float, now_s: float) -> None:
        """Add the permits that accrued since the last refill."""
        grown = self.permits + rate_per_s * max(now_s - self.at_s, 0.0)
        self.permits = min(grown, capacity)
        self.at_s = now_s

    def record_request(self, requester: str, now_s: float) -> float:
        """Count a permit request and estimate the number of requesting nodes.

        Returns:
            How many nodes request as often as this one, from the total count; at least
            1.
        """
        own = self.requests_by_node.setdefault(requester, _Count(now_s)).add(now_s)
        return max(self.requests.add(now_s) / own, 1.0)


@attrs.define(eq=False, repr=False)
class PermitIssuer:
    """Token buckets by backend server."""

    node_name: str
    rng: random.Random
    _buckets: dict[str, _Bucket] = attrs.field(factory=dict)

    def issue(
        self,
        backend_id: str,
        limit_per_s: float,
        requester: str,
        now_s: float,
        *,
        fraction: float = 1.0,
    ) -> Permit:
        """Return a permit, or the time after which to ask again.

        Args:
            backend_id: The backend server that the request would go to.
            limit_per_s: Requests a second that it accepts from all nodes.
            requester: The node that requests the permit.
            now_s: Monotonic seconds.
            fraction: Fraction of the limit that this issuer may issue.
        """
        rate_per_s = max(USED_FRACTION * limit_per_s, MIN_LIMIT_PER_S) * fraction
        capacity = BURST_REQUESTS + BURST_S * rate_per_s
        return self.issue_from_bucket(
            backend_id, rate_per_s, capacity, requester, now_s
        )

    def issue_from_bucket(
        self,
        backend_id: str,
        rate_per_s: float,
        capacity: float,
        requester: str,
        now_s: float,
    ) -> Permit:
        """Return a permit from a bucket of a given rate and size; see ``issue``."""
        bucket = self._buckets.get(backend_id)
        if bucket is None:
            bucket = self._buckets[backend_id] = _Bucket(now_s, _Count(now_s))
        bucket.refill(rate_per_s, capacity, now_s)
        requesters = bucket.record_request(requester, now_s)
        if bucket.permits >= 1.0:
            bucket.permits -= 1.0
            return Permit(is_granted=True)
        wait_s = (1.0 - bucket.permits) / rate_per_s
        spread_s = 2.0 * (requesters - 1.0) / (REQUESTS_PER_PERMIT * rate_per_s)
        return Permit(is_granted=False, again_s=wait_s + spread_s * self.rng.random())

    def keep_only(self, backend_ids: Collection[str]) -> None:
        """Drop the buckets of backend servers that are no longer listed."""
        for backend_id in self._buckets.keys() - backend_ids:
            del self._buckets[backend_id]


def issuers(backend_id: str, nodes: Collection[str], count: int) -> list[str]:
    """Return the nodes that issue permits for a backend server, in order of rank.

    All nodes compute the same list, and the loss of a node does not change the order of
    the remaining ones (rendezvous hashing).

    Args:
        backend_id: The backend server.
        nodes: Names of all nodes.
        count: How many issuers to return.
    """

    def weight(node: str) -> bytes:
        return hashlib.blake2b(f"{backend_id}/{node}".encode(), digest_size=8).digest()

    return sorted(nodes, key=weight)[:count]


def rank_fraction(rank: int) -> float:
    """Return the fraction of a limit that the issuer of a rank may issue."""
    return RANK_FRACTION ** min(rank, MAX_RANK)
