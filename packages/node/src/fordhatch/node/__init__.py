"""A node: its components, its life cycle, and its listeners on the users' platform."""

from __future__ import annotations

from ._clients import Clients
from ._daemon import run_logged, run_on_platform
from ._node import Node
from ._platform_edge import PlatformEdge, render
from ._process_end import ProcessEnd
from ._settings_watch import SettingsWatch
from ._stop_signal import STOP_SIGNALS, StopSignal

__all__ = [
    "STOP_SIGNALS",
    "Clients",
    "Node",
    "PlatformEdge",
    "ProcessEnd",
    "SettingsWatch",
    "StopSignal",
    "render",
    "run_logged",
    "run_on_platform",
]
