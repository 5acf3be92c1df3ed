"""The line of the log with which each accepted request ends."""

from __future__ import annotations

from fordhatch.core import log_event

from ._accepted_request import AcceptedRequest, EndedBy
from ._request import ServedRequest


def log_end(
    accepted: AcceptedRequest,
    ended_by: EndedBy,
    error: str,
    now_s: float,
    version: int,
) -> None:
    """Log the end of a request.

    Args:
        accepted: The request.
        ended_by: Who ended it.
        error: What was raised, or empty.
        now_s: The time, in monotonic seconds.
        version: Version of the configuration in effect.
    """
    took_s = round(now_s - accepted.arrived_s, 3)
    fields: dict[str, object] = {"request": accepted.request_id}
    refusal = accepted.refusal
    if refusal is not None and ended_by is EndedBy.NODE:
        log_event(
            "request_refused",
            **fields,
            code=refusal.code,
            host=refusal.host,
            version=version,
            age_s=refusal.age_s,
        )
        return
    if accepted.served is not None:
        fields |= _served_fields(accepted.served, now_s)
    if error:
        fields["error"] = error
    log_event(
        "request_done",
        **fields,
        outcome=accepted.reply.outcome,
        ended_by=ended_by.value,
        sent_bytes=accepted.bytes_written,
        took_s=took_s,
        version=version,
    )


def _served_fields(request: ServedRequest, now_s: float) -> dict[str, object]:
    return {
        "route": request.route.name,
        "workspace": request.workspace.name if request.workspace else "",
        "arrivals": request.arrivals,
        "ran_at": ",".join(request.ran_at),
        **_timing(request),
        "left_s": round(request.left_s(now_s), 3),
    }


def _timing(request: ServedRequest) -> dict[str, object]:
    """Return log fields that explain a late request.

    Empty for a request on time, to keep its log line short.
    """
    timeline, route = request.timeline, request.route
    first_s = _since(request, timeline.first_s)
    is_on_time = first_s != "" and first_s <= route.goal_s
    if is_on_time and not _has_long_pause(request):
        return {}
    return {
        "goal_s": route.goal_s,
        "sent_s": _since(request, timeline.sent_s),
        "in_flight": timeline.in_flight,
        "first_s": first_s,
        "pause_s": round(timeline.longest_pause_s, 3),
        "gap_s": route.max_gap_s if route.max_gap_s is not None else "",
    }


def _has_long_pause(request: ServedRequest) -> bool:
    gap_s = request.route.max_gap_s
    return gap_s is not None and request.timeline.longest_pause_s > gap_s


def _since(request: ServedRequest, moment_s: float | None) -> float | str:
    """Return the time from a request's arrival to a moment, in seconds, or empty."""
    return round(moment_s - request.arrived_s, 3) if moment_s is not None else ""
