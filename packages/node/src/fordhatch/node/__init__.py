"""A node on the users' platform: every part put together, and its life."""

from __future__ import annotations

from ._daemon import run_on_platform
from ._node import Node

__all__ = ["Node", "run_on_platform"]
