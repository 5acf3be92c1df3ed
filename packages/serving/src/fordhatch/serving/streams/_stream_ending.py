"""How a run of a stream ends: complete, broken off, or by a crash."""

from __future__ import annotations

from fordhatch.catalog import BackendServer
from fordhatch.core import log_event
from fordhatch.registry import RunStage

from ..exchange import (
    UNCONFIRMED_END,
    BackendAnswer,
    BackendExchange,
    SendFailure,
    SendProblem,
)
from ..groups import RunProgress
from ._events import EventSplitter
from ._stream import Stream


class RunFailed(Exception):  # noqa: N818
    """A run failed before its stream was complete."""

    def __init__(self, problem: SendProblem, detail: str) -> None:
        super().__init__(detail)
        self.failure = SendFailure(problem, detail)


async def check_ending(
    exchange: BackendExchange,
    stream: Stream,
    answer: BackendAnswer,
    splitter: EventSplitter,
    left_s: float,
) -> None:
    """Check whether a stream that ended with its connection is complete.

    Between two events, the end of a stream, the crash of its backend server and a
    broken link look alike: it is complete if the server still runs afterwards.

    Args:
        exchange: Probes the backend server.
        stream: The stream.
        answer: The answer that has ended.
        splitter: Holds what has arrived of an event that is not complete.
        left_s: Time until the final answer is due, in seconds.

    Raises:
        RunFailed: If it was broken off.
    """
    if splitter.has_partial_event:
        detail = "the connection ended within an event"
    elif stream.order.last is None and not stream.events:
        detail = "the connection ended before the first event"
    elif not await exchange.confirms_end(answer, left_s):
        detail = UNCONFIRMED_END
    else:
        return
    raise RunFailed(SendProblem.CONNECTION_LOST, detail)


def reached_stage(progress: RunProgress) -> RunStage:
    """Return the stage that a run reached."""
    if progress.events > 0:
        return RunStage.FLOWING
    return RunStage.BEGUN if progress.has_answer else RunStage.WAITING


def log_failed_run(
    stream: Stream,
    head: BackendServer,
    failure: SendFailure,
    events: int,
    took_s: float,
) -> None:
    """Log a run that failed.

    Args:
        stream: The stream.
        head: The head of the group that ran it.
        failure: Why it failed.
        events: Number of events that it forwarded.
        took_s: Time from its begin, in seconds.
    """
    log_event(
        "send_failed",
        request=stream.request.fields.request_id,
        backend=head.backend_id,
        group=head.membership.group if head.membership else "",
        problem=failure.problem.value,
        detail=failure.detail,
        events=events,
        took_s=round(took_s, 3),
    )
