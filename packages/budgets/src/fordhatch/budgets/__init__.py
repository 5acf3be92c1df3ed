"""Parts of counts that all nodes keep together, across restarts of nodes.

Times in, decisions out: without network, event loop or clock.
"""

from __future__ import annotations

from ._borrowed_retries import BorrowedRetries
from ._retry_ledger import RetryLedger
from ._retry_terms import RetryTerms
from ._slack_pool_row import PoolGrant, SlackPoolRow
from ._slack_share import SlackShare

__all__ = [
    "BorrowedRetries",
    "PoolGrant",
    "RetryLedger",
    "RetryTerms",
    "SlackPoolRow",
    "SlackShare",
]
