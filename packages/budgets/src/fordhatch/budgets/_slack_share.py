"""The part of the slack that one start of a node may use."""

from __future__ import annotations

import math
from collections.abc import Collection

import attrs

from ._retry_terms import RetryTerms


@attrs.define(eq=False, repr=False)
class SlackShare:
    """Divides the slack among the nodes, with what this start can know.

    A start uses no slack until it has followed the list of nodes for ``hold_off_s``
    without a break, with itself in it. By then what an earlier start of the node has
    used is out of the window, every other node that uses slack has seen this one, and
    this one has seen every other node that uses slack.
    """

    own_name: str
    terms: RetryTerms
    _seen_s: dict[str, float] = attrs.field(factory=dict)
    """When each node was last seen in the list."""
    _confirmed_s: float = -math.inf
    """When the list that was last looked at had been confirmed."""
    _steady_since_s: float = math.inf
    """Since when this start has followed the list without a break."""

    def observe(self, now_s: float, nodes: Collection[str], confirmed_s: float) -> None:
        """Look at the list of nodes; to be called about once a second.

        Args:
            now_s: Current time in monotonic seconds.
            nodes: Names of the nodes in the list.
            confirmed_s: Time at which the list was certainly complete, in monotonic
                seconds.
        """
        was_too_old = now_s - self._confirmed_s > self.terms.max_view_age_s
        if was_too_old or self.own_name not in nodes:
            self._steady_since_s = now_s
        self._confirmed_s = max(confirmed_s, self._confirmed_s)
        for name in nodes:
            self._seen_s[name] = now_s
        forgotten_s = now_s - self.terms.hold_off_s
        for name in [n for n, at_s in self._seen_s.items() if at_s < forgotten_s]:
            del self._seen_s[name]

    def node_count(self) -> int:
        """Return the number of nodes that may use slack."""
        return max(len(self._seen_s), 1)

    def steady_s(self, now_s: float) -> float:
        """Return for how long this start has followed the list without a break."""
        return max(now_s - self._steady_since_s, 0.0)

    def slack(self, now_s: float) -> float:
        """Return the retries that this start may use beyond what requests earn."""
        if now_s - self._confirmed_s > self.terms.max_view_age_s:
            return 0.0
        if self.steady_s(now_s) < self.terms.hold_off_s:
            return 0.0
        return self.terms.divided_slack / self.node_count()
