"""A node's view of the store: its content and how fresh that is."""

from __future__ import annotations

from ._active_configuration import (
    OPERATORS_ROW,
    ActiveConfiguration,
    ConfigurationRow,
)
from ._backend_contact import BackendContact
from ._backend_directory import BackendDirectory
from ._backend_index import BackendIndex, ReplicaGroup
from ._backend_prober import BackendProber
from ._crash_records import (
    CrashKey,
    CrashRecord,
    RunStage,
    crash_key,
    proven_key,
)
from ._evacuations import Evacuations
from ._group_records import GroupRecord, record_key
from ._liveness_probe import PROBE_TIMEOUT_S, Report, probe
from ._outage_evidence import NodeReport, OutageEvidence, min_witnesses
from ._reader_choice import NodeAddress, ReaderChoice, planner_candidates, strong_first
from ._relay import RelayClient, RelayServer, relay_wait_s
from ._responder import Responder, identify
from ._row_restorer import RowRestorer
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
from ._store_view import BACKENDS_GATHER_S, StoreView
from ._table_copy import TableCopy
from ._table_follower import TableFollower
from ._table_source import StoreSource, TableSource, TableUpdate

__all__ = [
    "BACKENDS_GATHER_S",
    "OPERATORS_ROW",
    "PROBE_TIMEOUT_S",
    "SECRET_KEY",
    "SHARED_TABLE",
    "ActiveConfiguration",
    "BackendContact",
    "BackendDirectory",
    "BackendIndex",
    "BackendProber",
    "ConfigurationRow",
    "CrashKey",
    "CrashRecord",
    "Evacuations",
    "GroupRecord",
    "NodeAddress",
    "NodeReport",
    "OutageEvidence",
    "ReaderChoice",
    "RelayClient",
    "RelayServer",
    "ReplicaGroup",
    "Report",
    "Responder",
    "RowRestorer",
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
    "identify",
    "min_witnesses",
    "node_key",
    "node_value",
    "planner_candidates",
    "probe",
    "proven_key",
    "record_key",
    "relay_wait_s",
    "slow_key",
    "strong_first",
    "suspicion_key",
]
