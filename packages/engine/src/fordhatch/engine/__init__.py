"""Model engines and plain services as backend servers."""

from __future__ import annotations

from ._engine import (
    BackendStatus,
    CacheEvents,
    CancelOutcome,
    EngineClient,
    Finish,
    Generate,
    Order,
    PlainAnswer,
    Token,
)
from ._http import REFUSED_HEADER, HttpEngineClient

__all__ = [
    "REFUSED_HEADER",
    "BackendStatus",
    "CacheEvents",
    "CancelOutcome",
    "EngineClient",
    "Finish",
    "Generate",
    "HttpEngineClient",
    "Order",
    "PlainAnswer",
    "Token",
]
