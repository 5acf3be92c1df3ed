"""Every message between nodes, by name."""

from __future__ import annotations

from ._messages import (
    MESSAGE_BY_TAG,
    ONE_ANSWER,
    PROTOCOL_VERSION,
    TAG_BY_MESSAGE,
    Close,
    CrashesNoted,
    CrashesSeen,
    DemandReply,
    Hello,
    Proof,
    QueryDemand,
    QueryStatus,
    Refused,
    StatusReply,
    TableChanges,
    TablesChanged,
    WatchTables,
)

__all__ = [
    "MESSAGE_BY_TAG",
    "ONE_ANSWER",
    "PROTOCOL_VERSION",
    "TAG_BY_MESSAGE",
    "Close",
    "CrashesNoted",
    "CrashesSeen",
    "DemandReply",
    "Hello",
    "Proof",
    "QueryDemand",
    "QueryStatus",
    "Refused",
    "StatusReply",
    "TableChanges",
    "TablesChanged",
    "WatchTables",
]
