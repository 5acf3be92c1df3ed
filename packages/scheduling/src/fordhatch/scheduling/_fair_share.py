"""Max-min fair shares of workspaces in scarce capacity."""

from __future__ import annotations

import math
from collections.abc import Mapping

import attrs

WINDOW_S = 2.0
"""Time constant of the decay of a workspace's demand, in seconds. Shorter than a burst
of 3 to 6 s, so that the demand shows it while it lasts."""

MAX_CREDIT_S = 0.5
"""Most credit of a workspace, as the time in which it earns it, in seconds: requests
that come unevenly do not count as excess."""

MAX_WORKSPACES = 1000
"""Workspaces that are kept; beyond it the one without demand for longest is dropped."""


def max_min_shares(demands: Mapping[str, float], capacity: float) -> dict[str, float]:
    """Return the max-min fair share of each workspace.

    A workspace that asks for no more than an equal part gets what it asks for, and the
    others divide what it leaves.

    Args:
        demands: Demand of each workspace, in any unit.
        capacity: Capacity in the same unit.

    Returns:
        The shares in the same unit, by workspace; none exceeds the demand.
    """
    shares: dict[str, float] = {}
    left = max(capacity, 0.0)
    ascending = sorted(demands.items(), key=lambda item: item[1])
    for index, (name, demand) in enumerate(ascending):
        shares[name] = min(demand, left / (len(ascending) - index))
        left -= shares[name]
    return shares


@attrs.define
class _Usage:
    """Demand and credit of one workspace."""

    at_s: float
    """When the demand was decayed last, in monotonic seconds."""
    credited_s: float
    """When credit was added last, in monotonic seconds."""
    demand: float = 0.0
    """Decaying sum of the work that it asked for, in seconds of a full group."""
    credit: float = math.inf
    """Work that it may still ask for within its share, in seconds of a full group;
    limited once capacity is scarce."""

    def decay(self, now_s: float) -> None:
        """Apply the decay up to now."""
        self.demand *= math.exp(-max(now_s - self.at_s, 0.0) / WINDOW_S)
        self.at_s = now_s

    def earn(self, share: float, max_credit: float, now_s: float) -> None:
        """Add the credit for the time since the last call."""
        earned = share * max(now_s - self.credited_s, 0.0)
        self.credit = min(self.credit + earned, max_credit)
        self.credited_s = now_s


@attrs.define(eq=False, repr=False)
class FairShares:
    """Marks the requests by which workspaces exceed their shares of a model.

    A workspace earns credit at the rate of its share and pays with it for each request;
    what it can't pay is excess. Only the excess of a workspace is marked, so that the
    part within its share has the same standing as the requests of the others.
    """

    _uses: dict[str, _Usage] = attrs.field(factory=dict)

    def count(
        self, workspace: str, busy_s: float, capacity_groups: float, now_s: float
    ) -> bool:
        """Count a request, and return whether it is over its workspace's share.

        Args:
            workspace: Name of the workspace; empty for callers without one.
            busy_s: Time that the request occupies a full group, in seconds.
            capacity_groups: Capacity for all workspaces, in full groups; infinite while
                there is spare capacity, so that nobody is limited.
            now_s: Current time in monotonic seconds.
        """
        use = self._uses.get(workspace)
        if use is None:
            self._drop_oldest()
            use = self._uses[workspace] = _Usage(now_s, now_s)
        use.decay(now_s)
        use.demand += busy_s
        if math.isinf(capacity_groups):
            use.credit = math.inf
            return False
        share = self._share(workspace, capacity_groups, now_s)
        use.earn(share, max(share * MAX_CREDIT_S, busy_s), now_s)
        if use.credit < busy_s:
            return True
        use.credit -= busy_s
        return False

    def _share(self, workspace: str, capacity_groups: float, now_s: float) -> float:
        """Return the share of a workspace, in full groups."""
        for use in self._uses.values():
            use.decay(now_s)
        demands = {name: use.demand / WINDOW_S for name, use in self._uses.items()}
        shares = max_min_shares(demands, capacity_groups)
        # A workspace that asks for less keeps the right to an equal part, and to all
        # that the others leave.
        spare_groups = capacity_groups - sum(shares.values())
        return max(shares[workspace] + spare_groups, capacity_groups / len(demands))

    def _drop_oldest(self) -> None:
        if len(self._uses) < MAX_WORKSPACES:
            return
        oldest = min(self._uses, key=lambda name: self._uses[name].at_s)
        del self._uses[oldest]
