"""The command line for operators."""

from __future__ import annotations

from ._explain import Explanation, LogLine, explain, read_lines
from ._losses import Loss, Losses, find_losses

__all__ = [
    "Explanation",
    "LogLine",
    "Loss",
    "Losses",
    "explain",
    "find_losses",
    "read_lines",
]
