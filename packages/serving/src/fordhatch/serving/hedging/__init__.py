"""Attempts of one request beside each other, while one of them is silent."""

from __future__ import annotations

from ._hedged_run import HedgedRun
from ._hedging import AttemptEnd, Hedging

__all__ = ["AttemptEnd", "HedgedRun", "Hedging"]
