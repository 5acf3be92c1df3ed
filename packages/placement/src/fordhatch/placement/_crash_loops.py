"""Back-off for models whose backend servers crash as they join a group.

A model that cannot be served (corrupt weights, an incompatible engine) crashes the
backend servers that join its groups. Without a back-off, the planner would form further
groups of it from other backend servers, and give up groups of other models for them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection

import attrs

from fordhatch.core import Timer, log_event

MAX_CONSECUTIVE_FAILURES = 4
"""Consecutive formations that lose a joined member, with no group of the model opening
in between, until formations pause. With a member lost every three seconds at worst and
two seconds for a formation, four in a row fail by chance once in some hundred
formations, at a cost of two seconds."""

CRASH_DETECTION_S = 4.0
"""A member found lost within this time after its formation was abandoned counts as
crashed on joining: it is probed at once, and again within a second."""

FIRST_PAUSE_S = 2.0
"""Pause after that many failures; it doubles with each further one."""

MAX_PAUSE_S = 60.0
"""Longest pause: crashing a group of sixteen each minute costs about a quarter of a
backend server, and a repaired model is served again within a minute."""


@attrs.frozen
class _AbandonedFormation:
    """A formation that was abandoned."""

    model: str
    joined: frozenset[str]
    """Backend servers that had joined."""
    at_s: float


@attrs.define(eq=False, repr=False)
class CrashLoops:
    """Count failed formations by model, and pause formations after several."""

    timer: Timer
    _failures: Counter[str] = attrs.field(factory=Counter)
    _paused_until_s: dict[str, float] = attrs.field(factory=dict)
    _abandoned: list[_AbandonedFormation] = attrs.field(factory=list)

    def record_abandoned(self, model: str, joined: frozenset[str]) -> None:
        """Record an abandoned formation, whose cause is not known yet.

        Args:
            model: The group's model.
            joined: Backend servers that had joined.
        """
        self._abandoned.append(_AbandonedFormation(model, joined, self.timer.now_s()))

    def step(self, lost: Collection[str]) -> None:
        """Count the abandoned formations in which a joined member crashed.

        Args:
            lost: Backend servers that are known to be lost.
        """
        if not self._abandoned:
            return
        since_s = self.timer.now_s() - CRASH_DETECTION_S
        undecided = []
        for formation in self._abandoned:
            if any(backend_id in lost for backend_id in formation.joined):
                self.record_failure(formation.model)
            elif formation.at_s > since_s:
                undecided.append(formation)
        self._abandoned = undecided

    def record_failure(self, model: str) -> None:
        """Record that a backend server crashed as it joined a group of a model."""
        self._failures[model] += 1
        beyond = self._failures[model] - MAX_CONSECUTIVE_FAILURES
        if beyond < 0:
            return
        pause_s = min(FIRST_PAUSE_S * 2.0 ** min(beyond, 10), MAX_PAUSE_S)
        self._paused_until_s[model] = self.timer.now_s() + pause_s
        log_event(
            "model_held_off",
            model=model,
            failures=self._failures[model],
            pause_s=pause_s,
        )

    def record_opened(self, model: str) -> None:
        """Record that a group of a model serves, which ends the back-off."""
        self._failures.pop(model, None)
        self._paused_until_s.pop(model, None)

    def paused_models(self) -> frozenset[str]:
        """Return the models for which forming groups is paused."""
        now_s = self.timer.now_s()
        return frozenset(
            m for m, until_s in self._paused_until_s.items() if until_s > now_s
        )

    def forget(self) -> None:
        """Clear all state when another planner takes over."""
        self._abandoned.clear()
        self._failures.clear()
        self._paused_until_s.clear()
