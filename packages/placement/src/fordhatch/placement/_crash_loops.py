"""Models whose backend servers end as they join a group, tried again ever more seldom.

A model that can't be served (spoiled weights, an engine that does not fit) ends who
joins for it. Its groups are wanted all the same, and the planner would form the next
one of the next backend servers, and give up groups of other models for it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection

import attrs

from fordhatch.core import Timer, log_event

FAILURES_IN_A_ROW = 4
"""Formations that lose a member that had joined, without any group of the model opening
in between. A member is lost every three seconds at worst, and a formation takes two:
that four in a row fail by chance comes once in some hundred formations, and costs two
seconds."""

DOUBT_S = 4.0
"""A member that is found to be lost within this time after its formation was given up
has ended as it joined: it is asked at once, and again within a second."""

PAUSE_FIRST_S = 2.0
"""Pause after that many; it doubles with each further one."""

PAUSE_MOST_S = 60.0
"""Longest pause: a group of sixteen that ends each minute is a quarter of a backend
server lost, and a model that has been mended is served again within a minute."""


@attrs.frozen
class _GivenUp:
    """A formation that was given up."""

    model: str
    joined: frozenset[str]
    """Backend servers that had taken their places."""
    at_s: float


@attrs.define(eq=False, repr=False)
class CrashLoops:
    """Counts formations that failed, by model."""

    timer: Timer
    _failures: Counter[str] = attrs.field(factory=Counter)
    _until_s: dict[str, float] = attrs.field(factory=dict)
    _given_up: list[_GivenUp] = attrs.field(factory=list)

    def gave_up(self, model: str, joined: frozenset[str]) -> None:
        """Note that a formation was given up; why is not known yet.

        Args:
            model: The group's model.
            joined: Backend servers that had taken their places.
        """
        self._given_up.append(_GivenUp(model, joined, self.timer.now_s()))

    def step(self, lost: Collection[str]) -> None:
        """Count the formations that were given up because a member has ended.

        Args:
            lost: Backend servers that are known to be lost.
        """
        if not self._given_up:
            return
        since_s = self.timer.now_s() - DOUBT_S
        open_ones = []
        for one in self._given_up:
            if any(backend_id in lost for backend_id in one.joined):
                self.failed(one.model)
            elif one.at_s > since_s:
                open_ones.append(one)
        self._given_up = open_ones

    def failed(self, model: str) -> None:
        """Note that a backend server has ended as it joined a group of a model."""
        self._failures[model] += 1
        beyond = self._failures[model] - FAILURES_IN_A_ROW
        if beyond < 0:
            return
        pause_s = min(PAUSE_FIRST_S * 2.0 ** min(beyond, 10), PAUSE_MOST_S)
        self._until_s[model] = self.timer.now_s() + pause_s
        log_event(
            "model_held_off",
            model=model,
            failures=self._failures[model],
            pause_s=pause_s,
        )

    def opened(self, model: str) -> None:
        """Note that a group of a model serves."""
        self._failures.pop(model, None)
        self._until_s.pop(model, None)

    def held_off(self) -> frozenset[str]:
        """Return the models of which no group should be formed now."""
        now_s = self.timer.now_s()
        return frozenset(m for m, until_s in self._until_s.items() if until_s > now_s)

    def forget(self) -> None:
        """Forget all; another planner goes on."""
        self._given_up.clear()
        self._failures.clear()
        self._until_s.clear()
