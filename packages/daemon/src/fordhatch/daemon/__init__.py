"""The daemon that every entry instance runs."""

from __future__ import annotations

from ._daemon import Daemon
from ._node import Node
from ._parts import Edges

__all__ = ["Daemon", "Edges", "Node"]
