"""The retry budget that all nodes share."""

from __future__ import annotations

from ._retry_budget import RetryBudget, RetryLoan

__all__ = [
    "RetryBudget",
    "RetryLoan",
]
