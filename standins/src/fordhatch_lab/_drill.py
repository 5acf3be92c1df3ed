"""An absence of the store."""

from __future__ import annotations

import attrs


@attrs.frozen
class StoreDrill:
    """One absence of the store."""

    at_s: float
    """When it begins, from the start of the load."""
    away_s: float = 2.0
    copy_age_s: float = 0.0
    """How long before that the copy was made; 0 where nothing is lost."""
