"""A simulated outage of the store."""

from __future__ import annotations

import attrs


@attrs.frozen
class StoreOutage:
    """One outage of the store."""

    at_s: float
    """When it begins, from the start of the load."""
    duration_s: float = 2.0
    copy_age_s: float = 0.0
    """Age of the restored backup at the outage's start; 0 if no data is lost."""
