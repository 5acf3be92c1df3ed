"""Checks of how the nodes' processes end, as their parent sees it."""

from __future__ import annotations

import signal
from collections.abc import Iterable

from soak_timeline import ProcessLife


def check_process_ends(lives: Iterable[ProcessLife]) -> list[str]:
    """Check the exit status of each process, and that a signal came before its end.

    Returns:
        The violations.
    """
    found = ((life, _fault(life)) for life in lives)
    return [
        f"{life.node} pid {life.process.pid} {fault}" for life, fault in found if fault
    ]


def _fault(life: ProcessLife) -> str:
    """Return what is wrong with the end of a process, or empty."""
    status = life.process.returncode
    if status is None:
        return "has not ended"
    if status == -signal.SIGKILL:
        was_killed = life.killed_s is not None or life.is_overdue
        return "" if was_killed else "was killed, not by the soak"
    if not life.stop_signals_s:
        return f"ended with {status} without a signal"
    # A process that has not served may not handle signals yet.
    may_end_by_signal = status == -signal.SIGTERM and not life.is_up
    return "" if status == 0 or may_end_by_signal else f"ended with {status}"


def was_slowed(life: ProcessLife, grace_s: float) -> bool:
    """Return whether the soak stopped or slowed a process in its grace period.

    Args:
        life: A process that got a signal to stop.
        grace_s: The grace period, in seconds.
    """
    from_s = life.stop_signals_s[0]
    spans = [*life.pauses, *life.holds]
    return any(span.overlaps(from_s, from_s + grace_s) for span in spans)
