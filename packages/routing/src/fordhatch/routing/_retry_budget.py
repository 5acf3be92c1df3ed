"""A budget for retries, so that faults do not multiply the load."""

from __future__ import annotations

import attrs

RESERVE = 10.0
"""Retries that are always possible after a quiet time."""


@attrs.define
class RetryBudget:
    """Each first attempt earns a share of a retry."""

    ratio: float
    balance: float = RESERVE

    def earn(self) -> None:
        """Count a first attempt."""
        self.balance = min(self.balance + self.ratio, RESERVE + 100 * self.ratio)

    def spend(self) -> bool:
        """Take one retry from the budget; returns False where none is left."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
