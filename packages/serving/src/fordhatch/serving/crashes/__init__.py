"""Requests that crash backend servers: detection, cause, quarantine."""

from __future__ import annotations

from ._crash_row_writer import CrashRowWriter
from ._crash_watch import CrashWatch
from ._quarantine import Quarantine

__all__ = [
    "CrashRowWriter",
    "CrashWatch",
    "Quarantine",
]
