"""Time, results, logging, metrics and invariants shared by every package."""

from __future__ import annotations

from . import _metrics as metrics
from ._call_limiter import CallLimiter
from ._codes import CODE_TABLE, CodeInfo, Failure, Ran, ResultCode, code_table_markdown
from ._invariant import InvariantGuard
from ._line_writer import LineWriter
from ._log import configure_line_log, configure_logging, format_line, log_event
from ._loop_watch import LoopWatch
from ._memory_account import Holding, MemoryAccount
from ._read_bound import record_bound
from ._socket_state import is_reset, unacknowledged_bytes, unread_bytes
from ._suspension import Suspension
from ._timer import TaskSet, Timer

__all__ = [
    "CODE_TABLE",
    "CallLimiter",
    "CodeInfo",
    "Failure",
    "Holding",
    "InvariantGuard",
    "LineWriter",
    "LoopWatch",
    "MemoryAccount",
    "Ran",
    "ResultCode",
    "Suspension",
    "TaskSet",
    "Timer",
    "code_table_markdown",
    "configure_line_log",
    "configure_logging",
    "format_line",
    "is_reset",
    "log_event",
    "metrics",
    "record_bound",
    "unacknowledged_bytes",
    "unread_bytes",
]
