"""The command line for operators."""

from __future__ import annotations

from ._explain import Explanation, LogLine, explain, read_lines

__all__ = ["Explanation", "LogLine", "explain", "read_lines"]
