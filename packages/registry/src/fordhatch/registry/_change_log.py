"""Log events for new and changed backend servers."""

from __future__ import annotations

from fordhatch.catalog import BackendServer
from fordhatch.core import log_event


def log_change(known: BackendServer | None, found: BackendServer, row: str) -> None:
    """Log a new or changed backend server.

    Args:
        known: Its state before; None for a new one.
        found: Its state by the entry.
        row: Version of the entry's row.
    """
    place = found.membership
    log_event(
        "backend_seen" if known is None else "backend_changed",
        backend=found.backend_id,
        service=found.service,
        state=found.state,
        row=row,
        group=place.group if place else "",
        epoch=place.epoch if place else 0,
        rank=place.rank if place else -1,
        place=place.state if place else "",
    )
