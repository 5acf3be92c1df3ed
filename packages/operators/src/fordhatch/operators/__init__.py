"""The operators' interface: apply declarative files and read back what is in force."""

from __future__ import annotations

from ._operators_app import OperatorsApp

__all__ = ["OperatorsApp"]
