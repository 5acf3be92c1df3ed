"""A node's view of the store: its content and how fresh that is."""

from __future__ import annotations

from ._backend_directory import BackendDirectory
from ._backend_index import BackendIndex, ReplicaGroup
from ._configuration_in_force import (
    OPERATORS_ROW,
    ConfigurationInForce,
    ConfigurationRow,
)
from ._crash_records import CrashKey, CrashRecord, RunStage, crash_key
from ._followers import BACKENDS_GATHER_S, StoreView
from ._group_records import GroupRecord, record_key
from ._liveness_probe import probe
from ._outage_evidence import NodeWord, OutageEvidence, witnesses_needed
from ._reader_choice import NodeAddress, ReaderChoice
from ._relay import RelayClient, RelayServer, relay_wait_s
from ._row_keeper import RowKeeper
from ._shared_rows import (
    SECRET_KEY,
    SHARED_TABLE,
    SharedRows,
    Suspicion,
    node_key,
    node_value,
    slow_key,
    suspicion_key,
)
from ._table_copy import TableCopy
from ._table_follower import TableFollower
from ._table_source import StoreSource, TableSource, TableUpdate

__all__ = [
    "BACKENDS_GATHER_S",
    "OPERATORS_ROW",
    "SECRET_KEY",
    "SHARED_TABLE",
    "BackendDirectory",
    "BackendIndex",
    "ConfigurationInForce",
    "ConfigurationRow",
    "CrashKey",
    "CrashRecord",
    "GroupRecord",
    "NodeAddress",
    "NodeWord",
    "OutageEvidence",
    "ReaderChoice",
    "RelayClient",
    "RelayServer",
    "ReplicaGroup",
    "RowKeeper",
    "RunStage",
    "SharedRows",
    "StoreSource",
    "StoreView",
    "Suspicion",
    "TableCopy",
    "TableFollower",
    "TableSource",
    "TableUpdate",
    "crash_key",
    "node_key",
    "node_value",
    "probe",
    "record_key",
    "relay_wait_s",
    "slow_key",
    "suspicion_key",
    "witnesses_needed",
]
