"""A node: its components, its life cycle, and its listeners on the users' platform."""

from __future__ import annotations

from ._clients import Clients
from ._daemon import close_with_timeout, run_logged, run_on_platform
from ._node import Node
from ._platform_edge import PlatformEdge, render
from ._settings_watch import SettingsWatch
from ._stop_signal import StopSignal

__all__ = [
    "Clients",
    "Node",
    "PlatformEdge",
    "SettingsWatch",
    "StopSignal",
    "close_with_timeout",
    "render",
    "run_logged",
    "run_on_platform",
]
