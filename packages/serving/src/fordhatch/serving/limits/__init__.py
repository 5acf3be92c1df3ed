"""What backend servers ask for: back-off, rate limits, cold starts, permits."""

from __future__ import annotations

from ._backpressure import BackpressureTracker, Block, ServerLimit
from ._cold_backends import ColdBackends, ColdReport, ColdState
from ._permit_issuer import Permit, PermitIssuer, issuers
from ._permits import Permits

__all__ = [
    "BackpressureTracker",
    "Block",
    "ColdBackends",
    "ColdReport",
    "ColdState",
    "Permit",
    "PermitIssuer",
    "Permits",
    "ServerLimit",
    "issuers",
]
