"""Stand-ins that speak the platform's published wire, or act like it in memory."""

from __future__ import annotations

from ._engine_fleet import EngineFleet, FleetFaults, Violation
from ._engine_model import EngineModel, ModelTimes
from ._memory_clients import MemoryBackendClient, MemoryStoreClient
from ._scripted_backend import SIGNATURE, ScriptedBackend, SeenRequest, http_answer
from ._store_http import store_handler
from ._store_model import StoreFaults, StoreModel

__all__ = [
    "SIGNATURE",
    "EngineFleet",
    "EngineModel",
    "FleetFaults",
    "MemoryBackendClient",
    "MemoryStoreClient",
    "ModelTimes",
    "ScriptedBackend",
    "SeenRequest",
    "StoreFaults",
    "StoreModel",
    "Violation",
    "http_answer",
    "store_handler",
]
