"""Dispatch of admitted requests by kind of service, with accounting."""

from __future__ import annotations

import attrs

from fordhatch.core import Failure, Ran, ResultCode, Timer, log_event, metrics

from ._node_state import OTHER_NODE_RETRY_AFTER_S, NodeState
from ._plain_call import PlainCalls
from ._request import Reply, ServedRequest
from ._stream_call import StreamCalls
from .crashes import CrashWatch
from .retries import RetryBudget


@attrs.define(eq=False, repr=False)
class Dispatch:
    """Serves admitted requests; every one of them goes through here."""

    state: NodeState
    budget: RetryBudget
    streams: StreamCalls
    plain: PlainCalls
    timer: Timer
    crashes: CrashWatch

    async def serve(self, request: ServedRequest, reply: Reply) -> None:
        """Serve one request; the reply is final when this returns."""
        service = self.state.view.configuration.current.services.get(request.service)
        if service is None:
            failure = Failure.from_code(
                ResultCode.NO_GROUP_READY,
                ran=Ran.NO,
                retry_after_s=OTHER_NODE_RETRY_AFTER_S,
            )
            await reply.refuse(failure)
            return
        self.budget.count_first(request.service)
        try:
            if service.engine is not None:
                await self.streams.serve(request, reply, service.engine)
            else:
                await self.plain.serve(request, reply)
        finally:
            self.crashes.request_ended(request)
        self._log(request, reply)

    def _log(self, request: ServedRequest, reply: Reply) -> None:
        now_s = self.timer.now_s()
        took_s = now_s - request.arrived_s
        metrics.ANSWER_SECONDS.labels(request.route.kind.value).observe(took_s)
        log_event(
            "request_done",
            request=request.fields.request_id,
            route=request.route.name,
            workspace=request.workspace.name if request.workspace else "",
            outcome=reply.outcome,
            arrivals=request.arrivals,
            ran_at=",".join(request.ran_at),
            **_timing(request),
            took_s=round(took_s, 3),
            left_s=round(request.left_s(now_s), 3),
            version=self.state.view.configuration.version,
        )


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
