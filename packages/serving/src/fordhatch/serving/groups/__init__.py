"""Choice of a group for a stream, and the progress of groups."""

from __future__ import annotations

from ._backend_health import TIE_BREAK_FRACTION, BackendHealth
from ._group_progress import GroupProgress, RunProgress, silence_s
from ._group_wait import MAX_WAIT_FRACTION, GroupWait, group_wait
from ._head_choice import HeadChoice
from ._model_load import ModelLoad, RequestSample
from ._stall_watch import SLOW_CHECK_INTERVAL_S, SLOW_PACE, StallWatch

__all__ = [
    "MAX_WAIT_FRACTION",
    "SLOW_CHECK_INTERVAL_S",
    "SLOW_PACE",
    "TIE_BREAK_FRACTION",
    "BackendHealth",
    "GroupProgress",
    "GroupWait",
    "HeadChoice",
    "ModelLoad",
    "RequestSample",
    "RunProgress",
    "StallWatch",
    "group_wait",
    "silence_s",
]
