"""Small stand-ins for the platform, model engines and plain services."""

from __future__ import annotations

from ._engine import (
    Engine,
    EngineFaults,
    EngineProfile,
    HttpSurroundings,
    engine_app,
    prompt_of,
    token_text,
)
from ._memory import MemoryEngines
from ._network import MemoryNetwork, MemoryPool
from ._plain import PlainFaults, PlainServer, plain_app
from ._platform import Faults, MemoryPlatform, WeightStore, platform_app

__all__ = [
    "Engine",
    "EngineFaults",
    "EngineProfile",
    "Faults",
    "HttpSurroundings",
    "MemoryEngines",
    "MemoryNetwork",
    "MemoryPlatform",
    "MemoryPool",
    "PlainFaults",
    "PlainServer",
    "WeightStore",
    "engine_app",
    "plain_app",
    "platform_app",
    "prompt_of",
    "token_text",
]
