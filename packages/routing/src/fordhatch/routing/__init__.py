"""Admission, choice of group, attempts, streams and claims."""

from __future__ import annotations

from ._batcher import ClaimBatcher, ClaimOutcome, ClaimWrite
from ._choice import CHOOSERS, AffinityChooser, GroupChooser
from ._claims import (
    CLAIM_SHARDS,
    ClaimKey,
    ClaimService,
    ClaimTarget,
    Present,
    Ticket,
)
from ._desk import GroupDesk
from ._entry import EntryRouter
from ._fair_queue import FairQueue, Waiting
from ._home import HomeDispatcher
from ._loads import LoadBook
from ._local import LocalChannel
from ._request import CallerRequest, Completion, Deliver, PlainReply, Reply
from ._retry_budget import RetryBudget
from ._stream import StreamAssembler

__all__ = [
    "CHOOSERS",
    "CLAIM_SHARDS",
    "AffinityChooser",
    "CallerRequest",
    "ClaimBatcher",
    "ClaimKey",
    "ClaimOutcome",
    "ClaimService",
    "ClaimTarget",
    "ClaimWrite",
    "Completion",
    "Deliver",
    "EntryRouter",
    "FairQueue",
    "GroupChooser",
    "GroupDesk",
    "HomeDispatcher",
    "LoadBook",
    "LocalChannel",
    "PlainReply",
    "Present",
    "Reply",
    "RetryBudget",
    "StreamAssembler",
    "Ticket",
    "Waiting",
]
