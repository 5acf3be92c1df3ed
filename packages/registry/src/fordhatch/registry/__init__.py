"""What a node believes of the platform, and how fresh that is."""

from __future__ import annotations

from ._backend_directory import BackendDirectory, ReplicaGroup
from ._configuration_in_force import ConfigurationInForce
from ._followers import BACKENDS_GATHER_S, StoreView
from ._reader_choice import NodeAddress, ReaderChoice
from ._relay import RelayServer, RelaySource
from ._shared_rows import (
    SECRET_KEY,
    SHARED_TABLE,
    SharedRows,
    Suspicion,
    node_key,
    node_value,
    suspicion_key,
)
from ._table_follower import TableFollower
from ._table_source import StoreSource, TableSource, TableUpdate

__all__ = [
    "BACKENDS_GATHER_S",
    "SECRET_KEY",
    "SHARED_TABLE",
    "BackendDirectory",
    "ConfigurationInForce",
    "NodeAddress",
    "ReaderChoice",
    "RelayServer",
    "RelaySource",
    "ReplicaGroup",
    "SharedRows",
    "StoreSource",
    "StoreView",
    "Suspicion",
    "TableFollower",
    "TableSource",
    "TableUpdate",
    "node_key",
    "node_value",
    "suspicion_key",
]
