"""Emulate the platform's store and backend servers, in memory or over HTTP."""

from __future__ import annotations

from ._attempt_log import Attempt, AttemptEnd, AttemptLog
from ._backend_links import BackendLinks, CutKind
from ._backends import Backends
from ._broken_answers import BrokenAnswers, BrokenKind
from ._calls import BackendCall, CutOff, NotExecuted, answer_text, event_bytes
from ._cold_starts import ColdStarts
from ._crashing_parts import KNOWN_CRASHES, SETTLED_S, CrashingParts
from ._endless_answers import EndlessAnswers, EndlessKind
from ._engine_fleet import EngineFleet, FleetFaults, Violation
from ._engine_model import EngineModel, ModelTimes
from ._engine_work import EnginePace, EngineWork
from ._entries import FIRST_START_MS, backend_entry, entry_fields
from ._memory_clients import MemoryBackendClient, MemoryStoreClient
from ._memory_exchange import MemoryExchange
from ._memory_network import MemoryNetwork, MemoryPool
from ._plain_service import PlainService
from ._retry_ledger import RetryLedger, RetryRule, RetryWindow
from ._scripted_backend import SIGNATURE, ScriptedBackend, SeenRequest, http_answer
from ._store_http import store_handler
from ._store_model import StoreCopy, StoredRow, StoreFaults, StoreModel
from ._virtual_loop import VirtualLoop, spend_processor_time

__all__ = [
    "FIRST_START_MS",
    "KNOWN_CRASHES",
    "SETTLED_S",
    "SIGNATURE",
    "Attempt",
    "AttemptEnd",
    "AttemptLog",
    "BackendCall",
    "BackendLinks",
    "Backends",
    "BrokenAnswers",
    "BrokenKind",
    "ColdStarts",
    "CrashingParts",
    "CutKind",
    "CutOff",
    "EndlessAnswers",
    "EndlessKind",
    "EngineFleet",
    "EngineModel",
    "EnginePace",
    "EngineWork",
    "FleetFaults",
    "MemoryBackendClient",
    "MemoryExchange",
    "MemoryNetwork",
    "MemoryPool",
    "MemoryStoreClient",
    "ModelTimes",
    "NotExecuted",
    "PlainService",
    "RetryLedger",
    "RetryRule",
    "RetryWindow",
    "ScriptedBackend",
    "SeenRequest",
    "StoreCopy",
    "StoreFaults",
    "StoreModel",
    "StoredRow",
    "Violation",
    "VirtualLoop",
    "answer_text",
    "backend_entry",
    "entry_fields",
    "event_bytes",
    "http_answer",
    "spend_processor_time",
    "store_handler",
]
