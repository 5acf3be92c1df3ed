from __future__ import annotations

from memory_site import virtual

__all__ = ["virtual"]
