"""Time since the streams of each group last made progress, as observed by this node."""

from __future__ import annotations

import attrs

from fordhatch.catalog import EngineProfile
from fordhatch.core import Timer

from ..hedging import HedgedRun

MIN_SILENCE_S = 0.35
"""Shortest silence that indicates a fault, in seconds; a single lost packet delays an
event by a fifth of a second or more."""

SILENCE_PASSES = 4.0
"""Forward passes without an event that a working group cannot explain. It completes a
pass over its requests within its own pass time, including a few prompts."""

MIN_FIRST_EVENT_SILENCES = 1.5
"""Minimum wait for the first event of a run, in silence limits; the run queues behind
the prompts of other requests."""

FIRST_EVENT_FACTOR = 3.0
"""Multiple of the usual wait for the first event that most waits stay below."""

MAX_FIRST_EVENT_WAIT_S = 1.4
"""Longest wait for the first event from a group that sends nothing else, in seconds;
callers give up after two seconds."""

FIRST_EVENT_SMOOTHING = 0.1
"""Weight of the newest wait in the moving average; about twenty waits count."""


def silence_s(profile: EngineProfile, model: str) -> float:
    """Return how long a working group of a model may send no event, in seconds."""
    found = profile.model(model)
    pace = found.pace if found is not None else 1.0
    chunk_s = profile.prefill_s(profile.chunk_tokens)
    pass_s = (profile.pass_s(profile.slots) + chunk_s) * pace
    return max(MIN_SILENCE_S, SILENCE_PASSES * pass_s)


@attrs.define(eq=False, repr=False)
class RunProgress(HedgedRun):
    """One run of a stream at a head."""

    head_id: str
    began_s: float
    is_flowing: bool = False
    """Whether the first event has been received."""
    has_answer: bool = False
    """Whether the head of the answer has been received."""
    events: int = 0
    """Number of events that it forwarded."""


@attrs.define
class _HeadProgress:
    last_s: float
    """Time of the last event of any stream, in monotonic seconds."""
    flowing: int = 0
    """Runs that have received their first event."""


@attrs.define(eq=False, repr=False)
class GroupProgress:
    """Progress by head, over all streams of this node there.

    A run that waits for its first event may be queued, so silence is measured only
    after an event.
    """

    timer: Timer
    _by_head: dict[str, _HeadProgress] = attrs.field(factory=dict)
    _usual_first_event_s: dict[str, float] = attrs.field(factory=dict)
    """Moving average of the time to the first event by model, in seconds."""

    def start_run(self, head_id: str) -> RunProgress:
        """Start tracking a run at a head."""
        return RunProgress(head_id, self.timer.now_s())

    def record_event(self, run: RunProgress, model: str) -> None:
        """Record an event of a run."""
        now_s = self.timer.now_s()
        head = self._by_head.setdefault(run.head_id, _HeadProgress(now_s))
        head.last_s = now_s
        if not run.is_flowing:
            run.is_flowing = True
            head.flowing += 1
            self._record_first_event(model, now_s - run.began_s)

    def _record_first_event(self, model: str, took_s: float) -> None:
        usual_s = self._usual_first_event_s.get(model, took_s)
        self._usual_first_event_s[model] = usual_s + FIRST_EVENT_SMOOTHING * (
            took_s - usual_s
        )

    def end_run(self, run: RunProgress) -> None:
        """Stop tracking a run."""
        if not run.is_flowing:
            return
        head = self._by_head[run.head_id]
        head.flowing -= 1
        if head.flowing <= 0:
            del self._by_head[run.head_id]

    def silent_for_s(self, head_id: str) -> float:
        """Return the time since the last event from a head, in seconds.

        Returns:
            The time; 0 if no running stream of this node has received an event there.
        """
        head = self._by_head.get(head_id)
        return self.timer.now_s() - head.last_s if head is not None else 0.0

    def first_event_timeout_s(
        self, profile: EngineProfile, model: str, in_flight: float = 0.0
    ) -> float:
        """Return how long a run may wait for its first event, in seconds.

        A group that gets much work at once also takes longer than usual. The waits of
        other runs of the model show how long that is, and so does the group's queue.

        Args:
            profile: The engine.
            model: The model.
            in_flight: Requests of all nodes at the group; 0 if they are not known.
        """
        usual_s = self._usual_first_event_s.get(model, 0.0)
        min_s = MIN_FIRST_EVENT_SILENCES * silence_s(profile, model)
        timeout_s = max(min_s, FIRST_EVENT_FACTOR * usual_s)
        timeout_s += _queue_s(profile, model, in_flight)
        return min(timeout_s, MAX_FIRST_EVENT_WAIT_S)


def _queue_s(profile: EngineProfile, model: str, in_flight: float) -> float:
    """Return how long a group takes for the requests that wait for a slot there."""
    found = profile.model(model)
    queued = in_flight - profile.slots
    if found is None or queued <= 0.0:
        return 0.0
    usual = profile.usual_prompt_tokens, profile.usual_answer_tokens
    return queued * profile.busy_s(found, *usual)
