"""What a node believes of the platform, and how fresh that is."""

from __future__ import annotations

from ._backend_directory import BackendDirectory, ReplicaGroup
from ._configuration_in_force import ConfigurationInForce
from ._followers import BACKENDS_GATHER_S, StoreView
from ._shared_rows import (
    LEASE_KEY,
    SHARED_TABLE,
    SharedRows,
    Suspicion,
    node_key,
    suspicion_key,
)
from ._table_follower import TableFollower

__all__ = [
    "BACKENDS_GATHER_S",
    "LEASE_KEY",
    "SHARED_TABLE",
    "BackendDirectory",
    "ConfigurationInForce",
    "ReplicaGroup",
    "SharedRows",
    "StoreView",
    "Suspicion",
    "TableFollower",
    "node_key",
    "suspicion_key",
]
