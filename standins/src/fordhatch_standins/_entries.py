"""Complete entries of backend servers, as the platform publishes them."""

from __future__ import annotations

import json

FIRST_START_MS = 1_760_000_000_000
"""Base of the reported start times, in Unix milliseconds."""


def entry_fields(service: str, address: str, **changes: object) -> dict[str, object]:
    """Return the fields of a complete entry.

    Args:
        service: Service of the backend server.
        address: Its address, ``host:port``.
        changes: Fields to change or add.
    """
    return {
        "service": service,
        "address": address,
        "zone": "z1",
        "version": "v1",
        "slots": 13,
        "state": "ready",
        "seq": 1,
        "cold-left-ms": 0,
        **changes,
    }


def backend_entry(service: str, address: str, **changes: object) -> bytes:
    """Return a complete encoded entry, with some fields changed or added."""
    return json.dumps(entry_fields(service, address, **changes)).encode()
