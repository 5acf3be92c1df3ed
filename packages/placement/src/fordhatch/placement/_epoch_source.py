"""Epochs under which groups are formed."""

from __future__ import annotations

import attrs

from ._planner_lease import PlannerLease

EPOCHS_PER_RENEWAL = 1000
"""Number of epochs that can be derived from one version of the lease row."""


@attrs.define(eq=False, repr=False)
class EpochSource:
    """Issues epochs from the version of the planner's lease."""

    lease: PlannerLease
    _issued: int = 0
    """Epochs issued from the current base."""
    _base: int = 0

    def next_epoch(self) -> int:
        """Return an epoch that is higher than every epoch used before."""
        if self.lease.epoch_base != self._base:
            self._base = self.lease.epoch_base
            self._issued = 0
        self._issued += 1
        return self._base * EPOCHS_PER_RENEWAL + self._issued
