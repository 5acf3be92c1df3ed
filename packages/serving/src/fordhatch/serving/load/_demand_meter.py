"""Recent demand for each model from the callers of this node."""

from __future__ import annotations

import math

import attrs

from fordhatch.catalog import EngineProfile, ModelDemand, ModelKey
from fordhatch.core import Timer

WINDOW_S = 1.0
"""Time constant of the exponential decay of counts, in seconds. A burst shows within a
second."""

LENGTH_SMOOTHING = 0.05
"""Weight of the newest answer in the moving average of a route's answer length. Lengths
vary by as much as their mean, and the mean does not change within seconds."""

MIN_WINDOW_S = 0.5
"""Shortest time that counts are divided by, in seconds. Without it, one request within
the first millisecond of a meter would count as thousands a second."""

MAX_PROMPT_RATIO = 8.0
"""Maximum length that a prompt is counted with, as a multiple of the typical length.
Callers state the length themselves, and a wrong one must not move groups from one model
to another. If lengths vary by as much as their mean, one prompt in a hundred is
capped."""


@attrs.define
class _Count:
    """Sums that decay exponentially with time."""

    at_s: float
    requests: float = 0.0
    busy_s: float = 0.0

    def decay(self, now_s: float) -> None:
        """Apply the decay up to now."""
        remaining = math.exp(-max(now_s - self.at_s, 0.0) / WINDOW_S)
        self.requests *= remaining
        self.busy_s *= remaining
        self.at_s = now_s


@attrs.define(eq=False, repr=False)
class DemandMeter:
    """Counts requests for models on arrival, whatever their outcome."""

    timer: Timer
    _since_s: float = -math.inf
    _counts: dict[ModelKey, _Count] = attrs.field(factory=dict)
    _answer_tokens: dict[str, float] = attrs.field(factory=dict)
    """Moving average of the answer length of each route, in tokens."""

    def record_request(
        self,
        key: ModelKey,
        route: str,
        profile: EngineProfile,
        prompt_tokens: int,
    ) -> None:
        """Count a request.

        Args:
            key: Its service and model.
            route: Its route; answers of one route have about the same length.
            profile: Timing of the service's engine.
            prompt_tokens: Length of its prompt.
        """
        model = profile.model(key[1])
        if model is None:
            return
        now_s = self.timer.now_s()
        if self._since_s == -math.inf:
            self._since_s = now_s
        count = self._counts.setdefault(key, _Count(now_s))
        count.decay(now_s)
        answer_tokens = self._answer_tokens.get(route, profile.usual_answer_tokens)
        if profile.usual_prompt_tokens > 0:
            limit_tokens = MAX_PROMPT_RATIO * profile.usual_prompt_tokens
            prompt_tokens = min(prompt_tokens, int(limit_tokens))
        count.requests += 1
        count.busy_s += profile.busy_s(model, prompt_tokens, answer_tokens)

    def record_answer(self, route: str, profile: EngineProfile, events: int) -> None:
        """Record the length of a complete answer.

        Args:
            route: The route of its request.
            profile: The engine; an event holds one token for each step of a forward
                pass.
            events: Events of the answer.
        """
        tokens = float(events * profile.stride)
        usual = self._answer_tokens.get(route, profile.usual_answer_tokens)
        self._answer_tokens[route] = usual + LENGTH_SMOOTHING * (tokens - usual)

    def demand(self) -> dict[ModelKey, ModelDemand]:
        """Return the current demand for each model."""
        now_s = self.timer.now_s()
        # A meter that has just started has covered only a part of its window.
        coverage = -math.expm1(-(now_s - self._since_s) / WINDOW_S)
        window_s = max(WINDOW_S * coverage, MIN_WINDOW_S)
        demands: dict[ModelKey, ModelDemand] = {}
        for key, count in self._counts.items():
            count.decay(now_s)
            demands[key] = ModelDemand(
                count.requests / window_s, count.busy_s / window_s
            )
        return demands
