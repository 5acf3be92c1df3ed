"""The daemon of fordhatch's own interface."""

from __future__ import annotations

from ._daemon import Daemon

__all__ = ["Daemon"]
