"""Small stand-ins for the platform, model engines and plain services."""

from __future__ import annotations

from ._engine import (
    Engine,
    EngineFaults,
    EngineProfile,
    engine_app,
    prompt_of,
    token_text,
)
from ._plain import PlainFaults, PlainServer, plain_app
from ._platform import Faults, MemoryPlatform, WeightStore, platform_app

__all__ = [
    "Engine",
    "EngineFaults",
    "EngineProfile",
    "Faults",
    "MemoryPlatform",
    "PlainFaults",
    "PlainServer",
    "WeightStore",
    "engine_app",
    "plain_app",
    "platform_app",
    "prompt_of",
    "token_text",
]
