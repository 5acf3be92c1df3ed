"""Fordhatch's own HTTP interface for callers.

It uses the same request path as the platform's interface.
"""

from __future__ import annotations

from ._chat_server import CHAT_PATH, ChatServer
from ._claim_rows import CLAIM_TABLE, Claim, ClaimKey, ClaimState, StoredAnswer
from ._claims import ClaimService, Ticket

__all__ = [
    "CHAT_PATH",
    "CLAIM_TABLE",
    "ChatServer",
    "Claim",
    "ClaimKey",
    "ClaimService",
    "ClaimState",
    "StoredAnswer",
    "Ticket",
]
