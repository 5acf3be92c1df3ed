"""Settings of a simulated outage of the store."""

from __future__ import annotations

import attrs


@attrs.frozen
class StoreOutage:
    """One outage of the store, optionally followed by a restore from a backup."""

    at_s: float
    """Start of the outage, in seconds from the start of the load."""
    duration_s: float = 2.0
    backup_age_s: float = 0.0
    """Age of the restored backup when the outage begins; 0 if no data is lost."""
