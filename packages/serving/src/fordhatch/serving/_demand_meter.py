"""What the callers of this node ask of each model, lately."""

from __future__ import annotations

import math

import attrs

from fordhatch.catalog import EngineProfile, ModelDemand, ModelKey
from fordhatch.core import Timer

WINDOW_S = 1.0
"""Time over which requests count, the newest most: a burst shows within a second."""

LENGTH_SMOOTHING = 0.05
"""Weight of the newest answer in the usual length of a route's answers; lengths spread
by as much as they are long, and do not change within seconds."""

LEAST_WINDOW_S = 0.5
"""A meter that has counted for less than this says less than there is: one request
within its first millisecond would count for thousands."""

MOST_OF_USUAL = 8.0
"""A prompt counts for this many usual ones at the most: its length is the caller's
word, and one caller's must not move groups from one model to another. Prompts that
spread as far as they are long are cut in one of a hundred."""


@attrs.define
class _Count:
    """Sums that decay with time."""

    at_s: float
    requests: float = 0.0
    busy_s: float = 0.0

    def decay(self, now_s: float) -> None:
        """Let what has been counted fade up to now."""
        kept = math.exp(-max(now_s - self.at_s, 0.0) / WINDOW_S)
        self.requests *= kept
        self.busy_s *= kept
        self.at_s = now_s


@attrs.define(eq=False, repr=False)
class DemandMeter:
    """Counts requests for models as they arrive, whatever becomes of them."""

    timer: Timer
    _since_s: float = -math.inf
    _counts: dict[ModelKey, _Count] = attrs.field(factory=dict)
    _answer_tokens: dict[str, float] = attrs.field(factory=dict)
    """Usual length of the answers of each route."""

    def arrived(
        self,
        key: ModelKey,
        route: str,
        profile: EngineProfile,
        prompt_tokens: int,
    ) -> None:
        """Count a request.

        Args:
            key: Its service and model.
            route: Its route; answers of one route are about equally long.
            profile: Times of the service's engine.
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
            most_tokens = MOST_OF_USUAL * profile.usual_prompt_tokens
            prompt_tokens = min(prompt_tokens, int(most_tokens))
        count.requests += 1
        count.busy_s += profile.busy_s(model, prompt_tokens, answer_tokens)

    def answered(self, route: str, profile: EngineProfile, events: int) -> None:
        """Note how long a whole answer was.

        Args:
            route: The route of its request.
            profile: The engine; an event holds as many tokens as a pass makes steps.
            events: Events of the answer.
        """
        tokens = float(events * profile.stride)
        usual = self._answer_tokens.get(route, profile.usual_answer_tokens)
        self._answer_tokens[route] = usual + LENGTH_SMOOTHING * (tokens - usual)

    def demand(self) -> dict[ModelKey, ModelDemand]:
        """Return what is asked of each model now."""
        now_s = self.timer.now_s()
        # A meter that has just begun has seen less than its window.
        seen = -math.expm1(-(now_s - self._since_s) / WINDOW_S)
        window_s = max(WINDOW_S * seen, LEAST_WINDOW_S)
        found: dict[ModelKey, ModelDemand] = {}
        for key, count in self._counts.items():
            count.decay(now_s)
            found[key] = ModelDemand(count.requests / window_s, count.busy_s / window_s)
        return found
