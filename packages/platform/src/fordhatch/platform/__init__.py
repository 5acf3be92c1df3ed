"""The table service, object store and instance list of the platform."""

from __future__ import annotations

from ._http import HttpPlatform
from ._table import (
    Check,
    FieldCheck,
    Instance,
    InstanceList,
    ObjectStore,
    Outcome,
    Row,
    TableService,
    Transaction,
    VersionCheck,
)

__all__ = [
    "Check",
    "FieldCheck",
    "HttpPlatform",
    "Instance",
    "InstanceList",
    "ObjectStore",
    "Outcome",
    "Row",
    "TableService",
    "Transaction",
    "VersionCheck",
]
