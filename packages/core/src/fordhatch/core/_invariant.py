"""Invariant checks that stay enabled in production."""

from __future__ import annotations

import attrs

from ._log import log_event
from ._metrics import INVARIANT_VIOLATIONS


@attrs.define
class InvariantGuard:
    """Checks the invariants of one component and records violations."""

    part: str
    is_violated: bool = False
    """Whether an invariant has failed: then the component must stop serving."""
    violations: list[str] = attrs.field(factory=list)

    def check(self, holds: bool, name: str, **facts: object) -> bool:
        """Record a violation unless ``holds``.

        Args:
            holds: Whether the invariant holds.
            name: Name of the invariant.
            **facts: Fields to log with a violation.

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
