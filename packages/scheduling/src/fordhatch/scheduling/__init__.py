"""Decisions on which requests are served first when capacity is scarce.

Values in, a decision out: without network, event loop or clock.
"""

from __future__ import annotations

from ._caller_patience import stream_patience_s
from ._capacity import GroupCapacity, ModelCapacity, OpeningGroup
from ._decision import (
    REFUSAL_FRACTION,
    Decision,
    PendingRequest,
    RefusalReason,
    Refuse,
    Send,
    Wait,
    decide,
    queue_fraction,
    request_level,
)
from ._fair_share import FairShares, max_min_shares
from ._model_admission import ModelAdmission, Ticket
from ._retry_times import RetryTimes
from ._returning_callers import ReturningCallers
from ._urgency_classes import UrgencyClasses
from ._waiting_line import Place, WaitingLine

__all__ = [
    "REFUSAL_FRACTION",
    "Decision",
    "FairShares",
    "GroupCapacity",
    "ModelAdmission",
    "ModelCapacity",
    "OpeningGroup",
    "PendingRequest",
    "Place",
    "RefusalReason",
    "Refuse",
    "RetryTimes",
    "ReturningCallers",
    "Send",
    "Ticket",
    "UrgencyClasses",
    "Wait",
    "WaitingLine",
    "decide",
    "max_min_shares",
    "queue_fraction",
    "request_level",
    "stream_patience_s",
]
