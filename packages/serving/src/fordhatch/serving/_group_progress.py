"""When the streams of each group last made progress, as this node sees it."""

from __future__ import annotations

import attrs

from fordhatch.catalog import EngineProfile
from fordhatch.core import Timer

SILENCE_FLOOR_S = 0.35
"""Shortest silence that means anything: a lost packet alone delays by a fifth of a
second and more."""

SILENCE_PASSES = 4.0
"""A group that works ends a pass over its requests within its own time, a few prompts
included; this many passes without an event are not explained by that."""


def silence_s(profile: EngineProfile, model: str) -> float:
    """Return how long a working group of a model may be silent, in seconds."""
    found = profile.model(model)
    pace = found.pace if found is not None else 1.0
    chunk_s = profile.prefill_s(profile.chunk_tokens)
    pass_s = (profile.pass_s(profile.slots) + chunk_s) * pace
    return max(SILENCE_FLOOR_S, SILENCE_PASSES * pass_s)


@attrs.define
class _Progress:
    last_s: float
    streams: int = 0


@attrs.define(eq=False, repr=False)
class GroupProgress:
    """Progress by head, over all of this node's streams there."""

    timer: Timer
    _by_head: dict[str, _Progress] = attrs.field(factory=dict)

    def began(self, head_id: str) -> None:
        """Count a stream; silence is measured from the first one on."""
        now_s = self.timer.now_s()
        progress = self._by_head.setdefault(head_id, _Progress(now_s))
        if progress.streams == 0:
            progress.last_s = now_s
        progress.streams += 1

    def ended(self, head_id: str) -> None:
        """Count a stream out."""
        progress = self._by_head.get(head_id)
        if progress is None:
            return
        progress.streams -= 1
        if progress.streams <= 0:
            del self._by_head[head_id]

    def advanced(self, head_id: str) -> None:
        """Note an event of any stream of a head."""
        progress = self._by_head.get(head_id)
        if progress is not None:
            progress.last_s = self.timer.now_s()

    def silent_for_s(self, head_id: str) -> float:
        """Return how long nothing has come from a head, in seconds."""
        progress = self._by_head.get(head_id)
        return self.timer.now_s() - progress.last_s if progress is not None else 0.0
