"""Requests and retries of one start of a node, and how many retries are left."""

from __future__ import annotations

import math

import attrs

from ._bucket_counts import BucketCounts
from ._retry_terms import BUCKETS, RetryTerms

SAME_WINDOW_FRACTION = 0.75
"""Fraction of a request's credit that counts in the windows with the request itself.
The rest counts in the windows that begin within one window after it."""

KEPT_BUCKETS = 2 * BUCKETS + 4
"""A request counts until two windows after it, and buckets are removed in batches."""


@attrs.define(eq=False, repr=False)
class RetryLedger:
    """Requests and retries of one service, counted in time buckets.

    In every window of arrivals the retries are at most a part of the slack plus the
    credit of this start's requests: a fraction of those in the window, and the rest of
    those in the window before. The sum over all starts of a weighted mean of two counts
    is at most the greater of the two sums, so that all starts together keep to the
    budget, however the requests move from node to node.
    """

    terms: RetryTerms
    _requests: BucketCounts
    _retries: BucketCounts
    """Retries that were sent. Lent ones stand in the bucket in which they expire."""
    _needs: BucketCounts
    """Retries that were wanted."""

    @classmethod
    def from_terms(cls, terms: RetryTerms) -> RetryLedger:
        """Return an empty ledger."""
        counts = (BucketCounts(terms.bucket_s, KEPT_BUCKETS) for _ in range(3))
        return cls(terms, *counts)

    def count_request(self, now_s: float) -> None:
        """Count a caller's request."""
        self._requests.add(now_s)

    def count_need(self, now_s: float) -> None:
        """Count a retry that is wanted."""
        self._needs.add(now_s)

    def left(self, now_s: float, slack: float) -> int:
        """Return how many retries may be sent now.

        Args:
            now_s: Current time in monotonic seconds.
            slack: This start's part of the slack.
        """
        return math.floor(slack + self._least_credit(self._retries.bucket(now_s)))

    def _least_credit(self, now: int) -> float:
        """Return earned less sent retries in the fullest window that a retry enters.

        A window of arrivals that begins in the bucket after ``first`` contains retries
        that were sent in ``first`` or later, because they arrive within a bucket. Its
        requests are certain from the second bucket after ``first`` on, and those of
        the window before it up to ``first``.
        """
        requests, retries = self._requests.by_bucket, self._retries.by_bucket
        last = max(now, self._retries.newest(now))
        sent, same, before = 0, 0, 0
        for bucket in range(last - BUCKETS + 2, last + 1):
            before += requests.get(bucket, 0)
        least = math.inf
        for first in range(last, now - BUCKETS - 2, -1):
            sent += retries.get(first, 0)
            same += requests.get(first + 2, 0)
            counted = SAME_WINDOW_FRACTION * same
            counted += (1.0 - SAME_WINDOW_FRACTION) * before
            least = min(least, self.terms.used_ratio * counted - sent)
            before += requests.get(first - BUCKETS + 1, 0) - requests.get(first, 0)
        return least

    def spend(self, now_s: float, slack: float) -> bool:
        """Use one retry.

        Returns:
            Whether one was left.
        """
        if self.left(now_s, slack) < 1:
            return False
        self._retries.add(now_s)
        return True

    def take_back(self, spent_s: float) -> None:
        """Undo the use of a retry at a time, as nothing was sent."""
        self._retries.remove(spent_s)

    def lend(self, now_s: float, slack: float, most: int) -> int:
        """Give retries to another node, which may use them for ``terms.loan_s``.

        Args:
            now_s: Current time in monotonic seconds.
            slack: This start's part of the slack.
            most: How many to give at the most.

        Returns:
            How many were given.
        """
        given = max(min(self.left(now_s, slack), most), 0)
        if given:
            self._retries.add(now_s + self.terms.loan_s, given)
        return given

    def needs(self, now_s: float, within_s: float) -> int:
        """Return how many retries were wanted within a time in seconds."""
        return self._needs.since(now_s - within_s)

    def retries(self, now_s: float) -> int:
        """Return the retries sent and lent within the last window."""
        return self._retries.since(now_s - self.terms.window_s)

    def requests(self, now_s: float) -> int:
        """Return the requests within the last window."""
        return self._requests.since(now_s - self.terms.window_s)

    def next_free_s(self, now_s: float) -> float:
        """Return when the oldest retry leaves the window, in seconds from now."""
        now = self._retries.bucket(now_s)
        oldest = max(self._retries.oldest(now), now - BUCKETS)
        return (oldest + BUCKETS + 2 - now) * self.terms.bucket_s
