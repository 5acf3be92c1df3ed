"""Dispatch of admitted requests by kind of service."""

from __future__ import annotations

import attrs

from fordhatch.core import Failure, Ran, ResultCode, Timer, metrics

from ._node_state import NodeState
from ._request import Reply, ServedRequest
from ._stop_plan import OTHER_NODE_RETRY_AFTER_S
from .crashes import CrashWatch
from .plain import PlainCalls
from .retries import RetryBudget
from .streams import StreamCalls


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
        took_s = self.timer.now_s() - request.arrived_s
        metrics.ANSWER_SECONDS.labels(request.route.kind.value).observe(took_s)
