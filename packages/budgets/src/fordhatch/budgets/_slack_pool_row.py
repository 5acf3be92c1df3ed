"""The part of the slack that nodes take from the store, as one row counts it."""

from __future__ import annotations

import json
import math

import attrs

from ._retry_terms import RetryTerms

MAX_GRANTS = 1000
"""Most grants that a row may hold; one with more is malformed."""


@attrs.frozen
class PoolGrant:
    """Retries that a start may use until a time of the store's clock."""

    until_s: float
    count: int


@attrs.frozen
class SlackPoolRow:
    """Grants that may still be used, or have been within a window.

    The row is replaced under the condition that nobody else has replaced it, so that
    all starts together get no more than the pool, whatever they know of each other.
    """

    generation: int
    """Generation of the store in which it was written."""
    grants: tuple[PoolGrant, ...] = ()

    @classmethod
    def from_bytes(cls, value: bytes) -> SlackPoolRow:
        """Return the content of a row.

        Raises:
            ValueError, TypeError, KeyError: If the row is malformed.
        """
        data = json.loads(value)
        grants = tuple(PoolGrant(float(t), int(n)) for t, n in data["grants"])
        is_finite = all(math.isfinite(g.until_s) and g.count >= 0 for g in grants)
        if len(grants) > MAX_GRANTS or not is_finite:
            raise ValueError("unexpected grants")
        return cls(int(data["generation"]), grants)

    def to_bytes(self) -> bytes:
        """Return the value of the row."""
        grants = [[g.until_s, g.count] for g in self.grants]
        return json.dumps({"generation": self.generation, "grants": grants}).encode()

    @classmethod
    def closed(cls, generation: int, now_s: float, terms: RetryTerms) -> SlackPoolRow:
        """Return a row from which nothing is granted until a window has passed."""
        grant = PoolGrant(now_s + terms.loan_s, math.ceil(terms.pool_slack))
        return cls(generation, (grant,))

    def counted(self, now_s: float, terms: RetryTerms) -> SlackPoolRow:
        """Return the row without the grants whose use has left every window."""
        after_s = now_s - terms.window_s - terms.bucket_s
        return attrs.evolve(
            self, grants=tuple(g for g in self.grants if g.until_s > after_s)
        )

    def room(self, now_s: float, terms: RetryTerms) -> int:
        """Return how many retries are left in the pool.

        Args:
            now_s: Time of the store's clock, in seconds.
            terms: The budget.
        """
        used = sum(g.count for g in self.counted(now_s, terms).grants)
        return max(math.floor(terms.pool_slack) - used, 0)

    def granted(self, count: int, now_s: float, terms: RetryTerms) -> SlackPoolRow:
        """Return the row with one grant more, which begins now."""
        counted = self.counted(now_s, terms)
        grant = PoolGrant(now_s + terms.loan_s, count)
        return attrs.evolve(counted, grants=(*counted.grants, grant))

    def next_free_s(self, now_s: float, terms: RetryTerms) -> float:
        """Return when the oldest grant leaves every window, in seconds from now."""
        grants = self.counted(now_s, terms).grants
        oldest_s = min((g.until_s for g in grants), default=now_s - terms.window_s)
        return max(oldest_s + terms.window_s + terms.bucket_s - now_s, 0.0)
