"""When the streams of each group last made progress, as this node sees it."""

from __future__ import annotations

import asyncio

import attrs

from fordhatch.catalog import EngineProfile
from fordhatch.core import Timer

SILENCE_FLOOR_S = 0.35
"""Shortest silence that means anything: a lost packet alone delays by a fifth of a
second and more."""

SILENCE_PASSES = 4.0
"""A group that works ends a pass over its requests within its own time, a few prompts
included; this many passes without an event are not explained by that."""

FIRST_SILENCES = 1.5
"""A run may wait for its first event at least for this many silences: it stands behind
the prompts of others."""

FIRST_FACTOR = 3.0
"""Waits for the first event spread about this far above the usual one."""

FIRST_MOST_S = 1.4
"""Longest wait for the first event at a group from which nothing else comes; callers
give up after two seconds."""

FIRST_SMOOTHING = 0.1
"""Weight of the newest wait in the usual one: about twenty count."""


def silence_s(profile: EngineProfile, model: str) -> float:
    """Return how long a working group of a model may be silent, in seconds."""
    found = profile.model(model)
    pace = found.pace if found is not None else 1.0
    chunk_s = profile.prefill_s(profile.chunk_tokens)
    pass_s = (profile.pass_s(profile.slots) + chunk_s) * pace
    return max(SILENCE_FLOOR_S, SILENCE_PASSES * pass_s)


@attrs.define(eq=False, repr=False)
class RunProgress:
    """One run of a stream at a head."""

    head_id: str
    began_s: float
    is_flowing: bool = False
    """Whether its first event has come."""
    step: asyncio.Future[object] | None = None
    """What it waits for."""
    has_answer: bool = False
    """Whether the head of its answer has come."""


@attrs.define
class _HeadProgress:
    last_s: float
    """When an event of any stream came last, in monotonic seconds."""
    flowing: int = 0
    """Runs whose first event has come."""


@attrs.define(eq=False, repr=False)
class GroupProgress:
    """Progress by head, over all of this node's streams there.

    A run that waits for its first event may just stand in a queue; silence is only
    what follows an event.
    """

    timer: Timer
    _by_head: dict[str, _HeadProgress] = attrs.field(factory=dict)
    _usual_first_s: dict[str, float] = attrs.field(factory=dict)
    """Usual time to the first event by model."""

    def began(self, head_id: str) -> RunProgress:
        """Note a run that begins."""
        return RunProgress(head_id, self.timer.now_s())

    def advanced(self, run: RunProgress, model: str) -> None:
        """Note an event of a run."""
        now_s = self.timer.now_s()
        head = self._by_head.setdefault(run.head_id, _HeadProgress(now_s))
        head.last_s = now_s
        if not run.is_flowing:
            run.is_flowing = True
            head.flowing += 1
            self._note_first(model, now_s - run.began_s)

    def _note_first(self, model: str, took_s: float) -> None:
        usual_s = self._usual_first_s.get(model, took_s)
        self._usual_first_s[model] = usual_s + FIRST_SMOOTHING * (took_s - usual_s)

    def ended(self, run: RunProgress) -> None:
        """Count a run out."""
        if not run.is_flowing:
            return
        head = self._by_head[run.head_id]
        head.flowing -= 1
        if head.flowing <= 0:
            del self._by_head[run.head_id]

    def silent_for_s(self, head_id: str) -> float:
        """Return how long nothing has come from a head that was sending, in seconds."""
        head = self._by_head.get(head_id)
        return self.timer.now_s() - head.last_s if head is not None else 0.0

    def first_patience_s(self, profile: EngineProfile, model: str) -> float:
        """Return how long a run may wait for its first event, in seconds.

        Longer than usual is also what a group takes that has got much work at once;
        how long that is shows in what other runs of the model have waited.
        """
        usual_s = self._usual_first_s.get(model, 0.0)
        least_s = FIRST_SILENCES * silence_s(profile, model)
        return min(max(least_s, FIRST_FACTOR * usual_s), FIRST_MOST_S)
