"""The daemon that serves callers and operators over HTTP."""

from __future__ import annotations

from ._daemon import Daemon

__all__ = ["Daemon"]
