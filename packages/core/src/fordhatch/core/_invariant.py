"""Invariants that stay on: a violated one stops the part concerned from serving."""

from __future__ import annotations

import attrs

from ._log import log_event
from ._metrics import INVARIANT_VIOLATIONS


@attrs.define
class InvariantGuard:
    """Remembers whether an invariant of one part has failed."""

    part: str
    is_violated: bool = False
    violations: list[str] = attrs.field(factory=list)

    def check(self, holds: bool, name: str, **facts: object) -> bool:
        """Record a violation unless ``holds``.

        Args:
            holds: The invariant's value.
            name: Name of the invariant.
            **facts: What to log with a violation.

        Returns:
            ``holds``.
        """
        if holds:
            return True
        self.is_violated = True
        self.violations.append(name)
        INVARIANT_VIOLATIONS.labels(name).inc()
        log_event("invariant_violated", part=self.part, invariant=name, **facts)
        return False
