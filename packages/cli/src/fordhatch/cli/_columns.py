"""Columns of the tables that the command line prints."""

from __future__ import annotations

COLUMNS = {
    "services": ("name", "kind", "version", "declared", "formed", "serving"),
    "groups": (
        "group",
        "service",
        "model",
        "state",
        "serving",
        "epoch",
        "domain",
        "members",
    ),
    "backends": (
        "backend",
        "service",
        "address",
        "zone",
        "domain",
        "state",
        "staged",
        "group",
    ),
    "zones": ("zone", "state", "since_s", "operator", "nodes", "backends"),
    "nodes": ("node", "address", "zone", "answers", "ready", "planner", "revision"),
}
"""Columns of each table."""
