"""What all nodes together may retry, and the times that follow from it."""

from __future__ import annotations

import attrs

BUCKETS = 100
"""Parts of a window in which requests and retries are counted."""

LOAN_FRACTION = 0.1
"""Time for which lent retries may be used, as a fraction of the window. The lender does
without them for that time and one window."""

CREDIT_FRACTION = 0.96
"""Fraction of the ratio that is used. Some requests that a node counts are none for the
backend servers' side, such as those that only test which configuration is active."""

POOL_FRACTION = 0.5
"""Fraction of the slack that the store counts for all starts. The rest is divided
among the nodes, which need no call for it and keep it in an outage of the store."""

SLACK_FRACTION = 0.98
"""Fraction of the slack that is used; the rest covers attempts that a link holds up."""


@attrs.frozen
class RetryTerms:
    """The retry budget of all nodes together.

    In any window a service may get ``ratio`` times the requests for it plus ``slack``
    arrivals beyond the first of their request.
    """

    ratio: float
    slack: float
    window_s: float

    @property
    def bucket_s(self) -> float:
        """Length of a bucket; an attempt must arrive within this time."""
        return self.window_s / BUCKETS

    @property
    def loan_s(self) -> float:
        """Time for which lent retries may be used."""
        return self.window_s * LOAN_FRACTION

    @property
    def max_view_age_s(self) -> float:
        """Age of a node's view of the other nodes up to which it uses slack."""
        return self.window_s

    @property
    def hold_off_s(self) -> float:
        """Time for which a start must have followed the other nodes to use slack."""
        longest_use_s = self.window_s + self.bucket_s + self.loan_s
        return longest_use_s + self.max_view_age_s

    @property
    def used_ratio(self) -> float:
        """Retries that a request earns."""
        return CREDIT_FRACTION * self.ratio

    @property
    def divided_slack(self) -> float:
        """Slack that is divided among the nodes."""
        return (1.0 - POOL_FRACTION) * SLACK_FRACTION * self.slack

    @property
    def pool_slack(self) -> float:
        """Slack that is taken from the store."""
        return POOL_FRACTION * SLACK_FRACTION * self.slack
