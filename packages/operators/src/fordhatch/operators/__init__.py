"""The operators' interface: apply declarative files and read the active state."""

from __future__ import annotations

from ._operators_app import OperatorsApp

__all__ = ["OperatorsApp"]
